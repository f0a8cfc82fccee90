/**
 * Decoding stored records from arbitrary and corrupted bytes: the decoder never throws.
 */
import test from 'ava'
import fc from 'fast-check'
import type { ZodType } from 'zod'
import {
  configHeadSchema, decodeRecord, encodeRecord, groupRecordSchema, rosterSchema, unsuspendedNames, storeKeys
} from './stored-records.js'

const seed = 20261204
const hash = 'a'.repeat(64)

const headWithoutHistory = {
  version: 2,
  documents: { profiles: hash, workspaces: hash, groups: hash, 'data-centres': hash },
  changeId: 'v1-x'
}

const records: Record<string, { schema: ZodType<unknown>, record: object }> = {
  head: {
    schema: configHeadSchema,
    record: {
      ...headWithoutHistory,
      recentChanges: [{ changeId: 'v0-y', version: 1 }, { changeId: 'v1-x', version: 2 }],
      superseded: [{ hash: 'b'.repeat(64), version: 2 }]
    }
  },
  group: {
    schema: groupRecordSchema,
    record: { term: 2, primary: 'db-1', phase: 'active', lineage: [{ term: 1, startPosition: 0 }] }
  },
  roster: {
    schema: rosterSchema,
    record: { version: 1, members: [{ name: 'one', address: '127.0.0.1:1', dataCentre: 'dc', suspended: true }] }
  }
}

for (const [name, { schema, record }] of Object.entries(records)) {
  test(`${name}: an encoded record decodes to the same record`, t => {
    const decoded = decodeRecord(storeKeys.head, encodeRecord(record), schema)
    t.deepEqual(decoded.unwrap(), record)
  })

  test(`${name}: arbitrary bytes decode to findings`, t => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 500 }), bytes => {
      const decoded = decodeRecord('key', bytes, schema)
      return !decoded.ok && decoded.val.length > 0
    }), { seed, numRuns: 1000 })
    t.pass()
  })

  test(`${name}: a corrupted record decodes to a record or to findings`, t => {
    const bytes = encodeRecord(record)
    fc.assert(fc.property(fc.nat(bytes.length - 1), fc.nat(255), (offset, byte) => {
      const damaged = Buffer.from(bytes)
      damaged[offset] = byte
      const decoded = decodeRecord('key', damaged, schema)
      return decoded.ok || decoded.val.length > 0
    }), { seed, numRuns: 1000 })
    t.pass()
  })
}

test('a head without history decodes with empty lists', t => {
  const decoded = decodeRecord(storeKeys.head, encodeRecord(headWithoutHistory), configHeadSchema)
  t.deepEqual(decoded.unwrap(), { ...headWithoutHistory, recentChanges: [], superseded: [] })
})

test('a roster without suspension fields decodes, and all its VMs share limits', t => {
  const members = [{ name: 'one', address: '127.0.0.1:1', dataCentre: 'dc' }]
  const decoded = decodeRecord(storeKeys.roster, encodeRecord({ version: 1, members }), rosterSchema).unwrap()
  t.deepEqual(decoded, { version: 1, members: [{ ...members[0], suspended: false }] })
  t.deepEqual(unsuspendedNames(decoded), ['one'])
})
