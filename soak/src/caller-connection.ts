/**
 * Client side of the wire protocol: a caller's connection to a gateway.
 */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { createLineReader } from '@egretyoke/platform/testing'

const answerTimeoutMs = 4000
const connectTimeoutMs = 2000

/** Reply to one statement. `error` is the error code, empty on success; `state` is the session state from READY. */
export type CallerAnswer = { error: string, signature: string, rows: string[], state: string }

/** A caller's open connection. Only one statement may be in flight at a time. */
export type CallerConnection = {
  /** Sends a line; resolves to undefined when the connection closes or the timeout expires before any reply line. */
  ask: (line: string, timeoutMs?: number) => Promise<CallerAnswer | undefined>
  close: () => void
  isOpen: () => boolean
}

const readAnswer = (lines: readonly string[]): CallerAnswer => {
  const answer: CallerAnswer = { error: '', signature: '', rows: [], state: 'I' }
  for (const line of lines) {
    const [word, first = ''] = line.split(' ')
    if (word === 'ROW') answer.rows.push(line.slice('ROW '.length))
    if (word === 'COMPLETE') answer.signature = first
    if (word === 'ERROR') answer.error = first
    if (word === 'READY') answer.state = first
  }
  return answer
}

/** Sends lines on a socket and collects the reply lines to each, up to READY. */
const createExchange = (socket: Socket): CallerConnection => {
  const reader = createLineReader()
  let lines: string[] = []
  let settle: ((answer: CallerAnswer | undefined) => void) | undefined
  const finish = (answer: CallerAnswer | undefined) => {
    const waiting = settle
    settle = undefined
    lines = []
    waiting?.(answer)
  }
  socket.on('data', chunk => {
    for (const line of reader.push(chunk) ?? []) {
      lines.push(line)
      if (line.startsWith('READY')) finish(readAnswer(lines))
    }
  })
  socket.on('error', () => socket.destroy())
  socket.on('close', () => finish(lines.length > 0 ? readAnswer(lines) : undefined))

  const ask = async (line: string, timeoutMs = answerTimeoutMs) => {
    const timer = setTimeout(() => socket.destroy(), timeoutMs)
    const answer = new Promise<CallerAnswer | undefined>(resolve => { settle = resolve })
    if (socket.destroyed) finish(undefined)
    else socket.write(`${line}\r\n`)
    return await answer.finally(() => clearTimeout(timer))
  }
  return { ask, close: () => socket.destroy(), isOpen: () => !socket.destroyed }
}

/** Opens a session on a loopback port; resolves to undefined when the connection or START fails. */
export const openCallerConnection = async (
  port: number, database: string, key: string
): Promise<CallerConnection | undefined> => {
  const connection = createExchange(connect({ host: '127.0.0.1', port, noDelay: true }))
  const answer = await connection.ask(`START ${database} ${key}`, connectTimeoutMs)
  if (answer !== undefined && answer.error === '' && connection.isOpen()) return connection
  connection.close()
  return undefined
}
