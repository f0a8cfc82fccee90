/**
 * Random sequences of statements of several callers. Names collide, and texts are made of what a reader of lines could
 * take for something else.
 */
import fc from 'fast-check'

/** One step of a caller: it sends a statement, or without a text leaves its session and opens another. */
export type SessionStep = { caller: number, text?: string }

/** Steps of all callers; `isConcurrent`: each caller does its steps without waiting for the others. */
export type SessionSequence = { isConcurrent: boolean, steps: SessionStep[] }

/** Which texts prepared statements have. */
export type PreparedTexts = 'oneWord' | 'anyText'

export const callerCount = 3
const maxSteps = 60
const shapeCount = 3
const maxPieces = 6
const longPieceLength = 3000

const words = ['q2b', 'rk', 'a', '-', 'READ', 'WRITE', 'AFTER', '1.1', 'PREPARE', 'QUERY', 'READY', '__proto__', 'é𝄞']
const separators = [' ', ' ', ' ', ' ', '  ', '\r', '\n', '\t', '\0', '=']

const word = fc.constantFrom(...words)
const piece = fc.oneof(
  { arbitrary: word, weight: 8 },
  { arbitrary: fc.constantFrom(...separators), weight: 8 },
  { arbitrary: fc.string({ unit: 'binary', maxLength: 4 }), weight: 2 },
  { arbitrary: fc.constantFrom('x'.repeat(longPieceLength), 'WRITE rk '.repeat(longPieceLength / 10)), weight: 1 }
)

/** CR LF would end the line, so that the rest would be a line of its own. */
const isOneLine = (text: string) => !text.includes('\r\n')
const anyText = fc.array(piece, { maxLength: maxPieces }).map(pieces => pieces.join('')).filter(isOneLine)
const oneWord = fc.oneof(word, fc.string({ unit: 'binary', minLength: 1, maxLength: 4 }))
  .filter(text => isOneLine(text) && !text.includes(' '))

/** Texts of which each is easily taken for another one. */
const longPrefix = 'x'.repeat(longPieceLength)
const similarWords = ['q2b', 'q2b', 'q2c', 'Q2B', 'q2b_', 'q2b\t', 'q2b\n', `${longPrefix}a`, `${longPrefix}b`]
const similarTexts = [...similarWords, 'q2b WRITE rk', 'q2b  WRITE rk', 'q2b_WRITE_rk', 'q2b ', 'rk WRITE q2b WRITE rk']
const name = fc.oneof(
  { arbitrary: fc.constant('s1'), weight: 4 },
  fc.constantFrom('s2', '__proto__', 'READ', '-', 'a\rb', 'a\n', 'é')
)
const access = fc.constantFrom('READ', 'WRITE')

const shapeOf = (preparedTexts: PreparedTexts) => preparedTexts === 'oneWord'
  ? fc.oneof({ arbitrary: fc.constantFrom(...similarWords), weight: 3 }, oneWord)
  : fc.oneof({ arbitrary: fc.constantFrom(...similarTexts), weight: 3 }, anyText)

/** Statements whose prepared ones have one of the given shapes. */
const statementOf = (shapes: readonly string[]) => {
  const shape = fc.constantFrom(...shapes)
  const prepare = fc.tuple(name, access, shape).map(fields => `PREPARE ${fields.join(' ')}`)
  const execute = fc.tuple(name, word, anyText).map(fields => `EXECUTE ${fields.join(' ')}`)
  const data = fc.tuple(access, word, anyText).map(fields => fields.join(' '))
  const set = fc.tuple(name, anyText).map(fields => `SET ${fields.join(' ')}`)
  const keyword = fc.constantFrom('SET', 'EXECUTE', 'DEALLOC', 'READ', 'WRITE', 'BEGIN', 'COMMIT', 'AFTER', 'RESET', '')
  const other = fc.oneof(
    fc.tuple(keyword, anyText).map(fields => fields.join(' ')),
    fc.tuple(keyword, name).map(fields => fields.join(' ')),
    fc.tuple(keyword, name, anyText).map(fields => fields.join(' '))
  )
  return fc.oneof(
    { arbitrary: prepare, weight: 6 },
    { arbitrary: execute, weight: 12 },
    { arbitrary: data, weight: 4 },
    { arbitrary: set, weight: 3 },
    { arbitrary: fc.constantFrom('BEGIN', 'BEGIN READ', 'COMMIT', 'ROLLBACK'), weight: 6 },
    { arbitrary: name.map(each => `DEALLOC ${each}`), weight: 1 },
    { arbitrary: other, weight: 2 }
  ).filter(isOneLine)
}

const stepsOf = (shapes: readonly string[]) => fc.array(fc.record({
  caller: fc.integer({ min: 0, max: callerCount - 1 }),
  text: fc.option(statementOf(shapes), { nil: undefined, freq: 30 })
}), { minLength: 1, maxLength: maxSteps, size: 'max' })

/** Sequences whose prepared statements have texts of the given kind; the callers of one prepare few different ones. */
export const sessionSequences = (preparedTexts: PreparedTexts): fc.Arbitrary<SessionSequence> =>
  fc.array(shapeOf(preparedTexts), { minLength: shapeCount, maxLength: shapeCount })
    .chain(shapes => fc.record({ isConcurrent: fc.boolean(), steps: stepsOf(shapes) }))
