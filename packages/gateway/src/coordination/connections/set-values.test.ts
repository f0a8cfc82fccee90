/**
 * What a connection remembers of the session values that are set on it.
 */
import test from 'ava'
import { usedHeapBytes } from '../../testing/heap-use.js'
import { createSetValues } from './set-values.js'

const long = 'x'.repeat(1_000_000)

test('a value is known by its name and text, long or short, until all are dropped', t => {
  const values = createSetValues()
  for (const name of ['zone', long]) {
    for (const value of ['quay', long, '']) {
      t.false(values.has({ name, value }))
      values.add({ name, value })
      t.true(values.has({ name, value }))
      t.false(values.has({ name, value: `${value}y` }))
    }
  }
  t.false(values.hasOtherThan([{ name: 'zone', value: '' }, { name: long, value: '' }]))
  t.true(values.hasOtherThan([{ name: 'zone', value: '' }]))
  values.clear()
  t.false(values.hasOtherThan([]))
  t.false(values.has({ name: 'zone', value: '' }))
})

test('a short text that looks like what stands for a long one is another text', t => {
  const values = createSetValues()
  values.add({ name: 'zone', value: long })
  for (const value of ['#', '=', `=${long}`, `#${long}`]) t.false(values.has({ name: 'zone', value }))
})

// Guards against connections that keep the values of ended sessions in memory.
test('the values of many connections take little memory, however long they were', t => {
  const before = usedHeapBytes()
  const connections = Array.from({ length: 100 }, (_, index) => {
    const values = createSetValues()
    for (let value = 0; value < 2; value++) {
      const line = `SET value-${value} ${String(index).padEnd(500_000, 'x')}`
      values.add({ name: line.slice(4, 11), value: line.slice(12) })
    }
    return values
  })
  const heldByAll = usedHeapBytes() - before
  t.true(heldByAll < 1_000_000, `${heldByAll} bytes of ${connections.length} connections`)
})
