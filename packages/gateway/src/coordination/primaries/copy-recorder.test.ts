/**
 * The list of databases that may hold confirmed commits: who is added, and when one that is gone may be dropped.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import test from 'ava'
import type { Configuration, Database } from '../../state/configuration.js'
import type { FleetState } from '../../state/fleet-state.js'
import type { GroupRecord } from '../../state/stored-records.js'
import { createCopyRecorder } from './copy-recorder.js'

const databaseOf = (id: string) => ({ id, address: `${id}:1`, group: 'g' }) as Database
const copiesOf = (...ids: string[]) => ids.map(id => ({ id, address: `${id}:1` }))

const createEnvironment = (syncReplicas: number, recorded: string[]) => {
  const time = { nowMs: 0 }
  const known = new Map(['p', 'r1', 'r2'].map(id => [id, databaseOf(id)]))
  /** Received positions of the databases that answer. */
  const positions = new Map([['p', '1.5'], ['r1', '1.5'], ['r2', '1.3']])
  let record: GroupRecord = {
    primary: 'p', term: 1, phase: 'serving', users: [], keeper: 'k', copies: copiesOf(...recorded), epoch: 0
  }
  const fleetState = {
    databasesOf: () => [...known.values()],
    configuration: () => ({ groups: new Map([['g', { syncReplicas }]]) }) as unknown as Configuration
  } as unknown as FleetState
  const recorder = createCopyRecorder({
    fleetState,
    nowMs: () => time.nowMs,
    records: {
      store: async (_group, stored) => {
        record = stored
        return undefined
      }
    },
    control: {
      run: async ({ id }) => {
        const position = positions.get(id)
        if (position === undefined) return Err(typedError('silent', 'no reply'))
        const role = id === 'p' ? 'primary' as const : 'replica' as const
        return Ok({ role, term: 1, receivedPosition: position, appliedPosition: position })
      }
    }
  })
  const check = async (afterMs = 0) => {
    time.nowMs += afterMs
    await recorder.check('g', { record, revision: 7, knownSinceMs: 0 })
    return record.copies.map(({ id }) => id)
  }
  const remove = (id: string) => {
    known.delete(id)
    positions.delete(id)
  }
  return { known, positions, check, remove }
}

test('all databases of a group are recorded, but only with synchronous replicas', async t => {
  t.deepEqual(await createEnvironment(1, []).check(), ['p', 'r1', 'r2'])
  t.deepEqual(await createEnvironment(0, []).check(), [])
})

test('a database at the address of a former one replaces it', async t => {
  const { known, check } = createEnvironment(1, ['p', 'r1', 'r2'])
  known.delete('r2')
  known.set('r9', { ...databaseOf('r9'), address: 'r2:1' })
  t.deepEqual(await check(), ['p', 'r1', 'r9'])
})

test('a database without an entry stays recorded, and is dropped once others have all of its commits', async t => {
  const { check, remove, positions } = createEnvironment(1, ['p', 'r1', 'r2'])
  remove('r2')
  t.deepEqual(await check(), ['p', 'r1', 'r2'])
  t.deepEqual(await check(5000), ['p', 'r1', 'r2'])
  positions.set('r1', '1.4')
  t.deepEqual(await check(6000), ['p', 'r1', 'r2'])
  positions.set('r1', '1.5')
  t.deepEqual(await check(1000), ['p', 'r1', 'r2'])
  t.deepEqual(await check(10_000), ['p', 'r1'])
})

test('a database without an entry that still answers is not dropped', async t => {
  const { known, check } = createEnvironment(1, ['p', 'r1', 'r2'])
  known.delete('r2')
  await check()
  t.deepEqual(await check(20_000), ['p', 'r1', 'r2'])
})

test('no database is dropped while the primary does not answer', async t => {
  const { positions, check, remove } = createEnvironment(1, ['p', 'r1', 'r2'])
  remove('r2')
  positions.delete('p')
  await check()
  t.deepEqual(await check(20_000), ['p', 'r1', 'r2'])
})
