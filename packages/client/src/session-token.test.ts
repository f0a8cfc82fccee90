/**
 * Merging of session tokens, over generated tokens and arbitrary bytes.
 */
import { crc32 } from 'node:zlib'
import test from 'ava'
import fc from 'fast-check'
import { maxTokenGroups } from '@egretyoke/protocol'
import { mergeTokens } from './session-token.js'

const seed = 20261204

type Position = { term: number, position: number }
type Token = { complete: boolean, groups: Record<string, Position> }

const encode = ({ complete, groups }: Token): Buffer => {
  const body = Buffer.from(JSON.stringify({ v: 1, complete, groups }))
  const checksum = Buffer.alloc(4)
  checksum.writeUInt32BE(crc32(body))
  return Buffer.concat([checksum, body])
}
const decode = (bytes: Buffer): Token => JSON.parse(bytes.subarray(4).toString())

const anyPosition = fc.record({ term: fc.nat(3), position: fc.nat(5) })
const anyToken: fc.Arbitrary<Token> = fc.record({
  complete: fc.boolean(),
  groups: fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd'), anyPosition)
})

const isAtOrPast = (left: Position, right: Position) =>
  left.term > right.term || (left.term === right.term && left.position >= right.position)

/** A token covers a position when its own position is at or past it, or when the group is read from its primary. */
const covers = (token: Token, group: string, required: Position): boolean => {
  const covered = token.groups[group]
  return covered ? isAtOrPast(covered, required) : !token.complete
}

test('a merged token covers every position of both tokens', t => {
  fc.assert(fc.property(anyToken, anyToken, (left, right) => {
    const merged = decode(mergeTokens(encode(left), encode(right))!)
    return [left, right].every(token =>
      Object.entries(token.groups).every(([group, required]) => covers(merged, group, required)))
  }), { seed, numRuns: 2000 })
  t.pass()
})

test('a merged token omits groups in which one token may lack a write', t => {
  fc.assert(fc.property(anyToken, anyToken, (left, right) => {
    const merged = decode(mergeTokens(encode(left), encode(right))!)
    const mayLackWrite = (token: Token, group: string) => !token.complete && !token.groups[group]
    const mergedGroups = Object.keys(merged.groups)
    return !mergedGroups.some(group => mayLackWrite(left, group) || mayLackWrite(right, group)) &&
      merged.complete === (left.complete && right.complete)
  }), { seed, numRuns: 2000 })
  t.pass()
})

test('the order of merging does not matter', t => {
  const sorted = (token: Buffer) => Object.entries(decode(token).groups).sort()
  fc.assert(fc.property(anyToken, anyToken, anyToken, (first, second, third) => {
    const [a, b, c] = [encode(first), encode(second), encode(third)]
    const left = mergeTokens(mergeTokens(a, b)!, c)!
    const right = mergeTokens(a, mergeTokens(c, b)!)!
    t.deepEqual(sorted(left), sorted(right))
    t.is(decode(left).complete, decode(right).complete)
  }), { seed, numRuns: 500 })
})

test('arbitrary bytes are not merged and cause no error', t => {
  const valid = encode({ complete: true, groups: {} })
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), bytes =>
    mergeTokens(Buffer.from(bytes), valid) === undefined && mergeTokens(valid, Buffer.from(bytes)) === undefined
  ), { seed, numRuns: 2000 })
  t.pass()
})

test('a merged token holds at most the maximum number of groups', t => {
  const groupsFrom = (start: number) => Object.fromEntries(Array.from({ length: 50 }, (_, index) =>
    [`g${start + index}`, { term: 1, position: 1 }]))
  const [left, right] = [0, 50].map(start => encode({ complete: true, groups: groupsFrom(start) }))
  const merged = decode(mergeTokens(left, right)!)
  t.is(Object.keys(merged.groups).length, maxTokenGroups)
  t.false(merged.complete)
})
