/**
 * Keys: parsing, validation and withdrawal.
 */
import test from 'ava'
import { createKey, isKeyValid, parseKey } from './keys.js'

test('a created key is valid until it is withdrawn', t => {
  const key = createKey('yard-1')
  const parsed = parseKey(key.text)
  t.truthy(parsed)
  t.true(isKeyValid(parsed!, key.stored))
  t.false(isKeyValid(parsed!, { ...key.stored, state: 'withdrawn' }))
})

test('a different secret with the same key id is not valid', t => {
  const key = createKey('yard-1')
  const other = parseKey(createKey('yard-1').text)
  t.false(isKeyValid(other!, key.stored))
})

for (const text of ['', 'ek_', 'ek_a_b', 'x'.repeat(5000), 'ek_yard-1_' + 'x'.repeat(44)]) {
  test(`malformed key is rejected: ${text.slice(0, 20)} (${text.length} characters)`, t => {
    t.is(parseKey(text), undefined)
  })
}
