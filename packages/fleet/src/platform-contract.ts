/**
 * Contract tests of the platform adapter: cases that every implementation must pass, including faults. A failing case
 * throws an assertion error. Exported separately, as `@egretyoke/fleet/platform-contract`, because it is test code.
 */
import assert from 'node:assert/strict'
import { sleepMs } from '@egretyoke/common'
import { faultCases } from './platform-contract-faults.js'
import { leaseCases } from './platform-contract-leases.js'
import { contractTimeoutMs, put, read, watchUntil } from './platform-contract-subject.js'
import type { PlatformContractCase } from './platform-contract-subject.js'
import type { VmListing } from './platform.js'

export type { PlatformContractCase, PlatformFaults, PlatformSubject } from './platform-contract-subject.js'

const maxValueBytes = 1024 * 1024

const storeCases: PlatformContractCase[] = [
  {
    title: 'an entry that was never stored does not exist',
    run: async ({ platform }) => {
      assert.equal((await platform.get('a/none', contractTimeoutMs)).unwrap(), undefined)
    }
  },
  {
    title: 'a swap creates an entry once, and a failed swap returns the existing entry',
    run: async ({ platform }) => {
      const swap = { key: 'a/x', expectedRevision: 0, value: Buffer.from('1') }
      const first = (await platform.compareAndSwap(swap, contractTimeoutMs)).unwrap()
      assert.equal(first.swapped, true)
      const second = (await platform.compareAndSwap({ ...swap, value: Buffer.from('2') }, contractTimeoutMs)).unwrap()
      assert.equal(second.swapped, false)
      assert.equal(second.current?.value.toString(), '1')
      assert.equal(second.current?.revision, first.current?.revision)
      assert.equal(await read(platform, 'a/x'), '1')
    }
  },
  {
    title: 'a swap at an old revision changes nothing',
    run: async ({ platform }) => {
      const oldRevision = await put(platform, 'a/x', '1')
      await put(platform, 'a/x', '2')
      const swap = { key: 'a/x', expectedRevision: oldRevision, value: Buffer.from('3') }
      const outcome = (await platform.compareAndSwap(swap, contractTimeoutMs)).unwrap()
      assert.equal(outcome.swapped, false)
      assert.equal(outcome.current?.value.toString(), '2')
      assert.equal(await read(platform, 'a/x'), '2')
    }
  },
  {
    title: 'exactly one of many concurrent swaps at one revision succeeds',
    run: async ({ platform }) => {
      const expectedRevision = await put(platform, 'a/x', '0')
      const swaps = Array.from({ length: 20 }, (_, index) =>
        platform.compareAndSwap({ key: 'a/x', expectedRevision, value: Buffer.from(`${index}`) }, contractTimeoutMs))
      const outcomes = (await Promise.all(swaps)).map(outcome => outcome.unwrap())
      assert.equal(outcomes.filter(outcome => outcome.swapped).length, 1)
    }
  },
  {
    title: 'revisions increase across the whole store',
    run: async ({ platform }) => {
      const revisions: number[] = []
      for (const key of ['a/x', 'b/y', 'a/x', 'c/z']) revisions.push(await put(platform, key, 'v'))
      assert.deepEqual(revisions, revisions.toSorted((left, right) => left - right))
      assert.equal(new Set(revisions).size, revisions.length)
      const { storeRevision } = (await platform.range('a/', 0, contractTimeoutMs)).unwrap()
      assert.ok(storeRevision >= revisions.at(-1)!)
    }
  },
  {
    title: 'a deleted entry does not exist, is reported as deleted, and can be created again',
    run: async ({ platform }) => {
      const revision = await put(platform, 'a/x', '1')
      const swap = { key: 'a/x', expectedRevision: revision, value: Buffer.alloc(0), delete: true }
      assert.equal((await platform.compareAndSwap(swap, contractTimeoutMs)).unwrap().swapped, true)
      assert.equal(await read(platform, 'a/x'), undefined)
      const { entries } = (await platform.range('a/', revision, contractTimeoutMs)).unwrap()
      assert.deepEqual(entries.map(({ key, deleted }) => ({ key, deleted })), [{ key: 'a/x', deleted: true }])
      assert.ok(await put(platform, 'a/x', '2') > entries[0].revision)
    }
  },
  {
    title: 'a range returns the entries below a prefix that changed after a revision, in order',
    run: async ({ platform }) => {
      await put(platform, 'a/1', 'x')
      const afterRevision = await put(platform, 'a/2', 'x')
      await put(platform, 'a/3', 'x')
      await put(platform, 'b/1', 'x')
      await put(platform, 'a/1', 'y')
      const { entries } = (await platform.range('a/', afterRevision, contractTimeoutMs)).unwrap()
      assert.deepEqual(entries.map(entry => entry.key), ['a/3', 'a/1'])
    }
  },
  {
    title: 'binary values of up to one megabyte are returned unchanged',
    run: async ({ platform }) => {
      const value = Buffer.alloc(maxValueBytes, Buffer.from([0, 255, 128, 10]))
      const swap = { key: 'a/large', expectedRevision: 0, value }
      assert.equal((await platform.compareAndSwap(swap, contractTimeoutMs)).unwrap().swapped, true)
      assert.ok((await platform.get('a/large', contractTimeoutMs)).unwrap()!.value.equals(value))
    }
  }
]

const watchCases: PlatformContractCase[] = [
  {
    title: 'a watch reports existing entries, then changes, below its prefix only',
    run: async ({ platform }) => {
      await put(platform, 'a/1', 'x')
      const watching = watchUntil(platform, 'a/', 0, ({ entries }) => entries.some(entry => entry.key === 'a/2'))
      await sleepMs(50)
      await put(platform, 'b/1', 'x')
      await put(platform, 'a/2', 'x')
      const keys = (await watching).flatMap(({ entries }) => entries.map(entry => entry.key))
      assert.deepEqual([...new Set(keys)], ['a/1', 'a/2'])
    }
  },
  {
    title: 'a watch from a revision omits earlier changes',
    run: async ({ platform }) => {
      await put(platform, 'a/1', 'x')
      const afterRevision = await put(platform, 'a/2', 'x')
      await put(platform, 'a/3', 'x')
      const seen = await watchUntil(platform, 'a/', afterRevision, ({ entries }) => entries.length > 0)
      assert.deepEqual(seen.flatMap(({ entries }) => entries.map(entry => entry.key)), ['a/3'])
    }
  },
  {
    title: 'a watch ends when it is aborted',
    run: async ({ platform }) => {
      const stop = new AbortController()
      setTimeout(() => stop.abort(), 100)
      for await (const changes of platform.watch('a/', 0, stop.signal)) assert.equal(changes.entries.length, 0)
    }
  },
  {
    title: 'the VM list is returned as set',
    run: async ({ platform, setVms }) => {
      const vms: VmListing[] = [
        { name: 'entry-1', role: 'ENTRY', address: '127.0.0.1:1', dataCentre: 'one', leaving: false },
        { name: 'db-1', role: 'ENDPOINT', address: '127.0.0.1:2', dataCentre: 'two', leaving: true }
      ]
      await setVms(vms)
      assert.deepEqual((await platform.listVms(contractTimeoutMs)).unwrap(), vms)
    }
  }
]

/** All contract cases. */
export const platformContractCases: PlatformContractCase[] =
  [...storeCases, ...watchCases, ...leaseCases, ...faultCases]
