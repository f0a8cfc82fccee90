/**
 * Records that are stored without reading the key first.
 */
import { Ok } from '@egretyoke/common'
import type { StoredEntry, Swap } from '@egretyoke/fleet'
import test from 'ava'
import { replaceAny } from './replace-any.js'

const record = { key: 'egretyoke/vm/a', value: Buffer.from('new'), leaseId: 7 }

/** A store with one key; counts the calls. */
const createOneKeyStore = (stored: StoredEntry | undefined) => {
  const calls: number[] = []
  const compareAndSwap = async ({ key, value, expectedRevision }: Swap) => {
    calls.push(expectedRevision)
    if ((stored?.revision ?? 0) !== expectedRevision) return Ok({ swapped: false, current: stored, storeRevision: 0 })
    stored = { key, value, revision: 50, deleted: false }
    return Ok({ swapped: true, current: stored, storeRevision: 50 })
  }
  return { store: { compareAndSwap }, calls, stored: () => stored }
}

const entry = { key: record.key, value: Buffer.from('old'), revision: 41, deleted: false }

test('a free key takes one call', async t => {
  const { store, calls } = createOneKeyStore(undefined)
  const swap = await replaceAny(store, record, 0, 100)
  t.true(swap.ok && swap.val.swapped)
  t.deepEqual(calls, [0])
})

test('the record of an earlier process is replaced with a second call', async t => {
  const { store, calls, stored } = createOneKeyStore(entry)
  const swap = await replaceAny(store, record, 0, 100)
  t.true(swap.ok && swap.val.swapped)
  t.deepEqual(calls, [0, 41])
  t.is(stored()?.value.toString(), 'new')
})

test('a record that may not be replaced stays', async t => {
  const { store, calls, stored } = createOneKeyStore(entry)
  const swap = await replaceAny(store, record, 0, 100, () => false)
  t.false(swap.ok && swap.val.swapped)
  t.deepEqual(calls, [0])
  t.is(stored(), entry)
})
