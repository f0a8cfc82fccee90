/**
 * Statement syntax of the stand-in: `VERB KEY [VALUE] [name=value ...]`. The proxy never parses statements.
 *
 *   get KEY                  reads a value
 *   put KEY VALUE op=ID      writes a value
 *   add KEY NUMBER op=ID     adds to a number
 *   scan KEY rows=N          reads N rows
 *
 * The option `costMs` sets the time for which a statement occupies a slot; `op` identifies a write for the checker.
 */
import { Err, Ok } from '@egretyoke/common'
import type { Result } from '@egretyoke/common'

const maxRows = 100_000

/** A parsed statement. */
export type Statement = {
  verb: 'get' | 'put' | 'add' | 'scan'
  key: string
  value: string
  op: string
  rows: number
  /** Time for which the statement occupies a slot; undefined selects the database's `serviceMs`. */
  costMs: number | undefined
}

const verbs = ['get', 'put', 'add', 'scan'] as const

/** Parses a statement in UTF-8; the error is a message for the caller. */
export const parseStatement = (text: Buffer): Result<Statement, string> => {
  const words = text.toString('utf8').split(' ').filter(word => word !== '')
  const verb = verbs.find(known => known === words[0])
  if (!verb) return Err('unknown verb')
  const isOption = (word: string) => word.includes('=')
  const [key = '', value = ''] = words.slice(1).filter(word => !isOption(word))
  if (key === '') return Err('no key')
  const options = new Map(words.filter(isOption).map(word => {
    const equals = word.indexOf('=')
    return [word.slice(0, equals), word.slice(equals + 1)]
  }))
  const costMs = options.has('costMs') ? Number(options.get('costMs')) : undefined
  const rows = Math.min(maxRows, Number(options.get('rows') ?? 1))
  if (Number.isNaN(rows) || Number.isNaN(costMs ?? 0)) return Err('an option is not a number')
  return Ok({ verb, key, value, op: options.get('op') ?? '', rows, costMs })
}

/** True for statements that change data. */
export const isWrite = (statement: Statement): boolean => statement.verb === 'put' || statement.verb === 'add'
