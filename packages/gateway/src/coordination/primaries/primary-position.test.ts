/**
 * Positions that a gateway reads at a primary for itself and for others.
 */
import test from 'ava'
import { Err, Ok, typedError } from '@egretyoke/common'
import { createAgeClock } from '../../state/contact.js'
import { createGroupPositions } from './group-positions.js'
import { createPrimaryPositionReader } from './primary-position.js'
import type { PrimaryPositionOptions } from './primary-position.js'

/** A reader before a primary that commits once a millisecond and answers status requests after 5 ms. */
const createEnvironment = () => {
  const state = { nowMs: 0, isSilent: false, statusCount: 0 }
  const clock = createAgeClock(() => state.nowMs, () => state.nowMs)
  const positions = createGroupPositions(clock, async () => undefined)
  const run = async () => {
    state.statusCount++
    if (state.isSilent) return Err(typedError('silent', 'timeout'))
    const appliedPosition = `1.${state.nowMs}`
    await new Promise(resolve => setImmediate(resolve))
    state.nowMs += 5
    return Ok({ role: 'primary', term: 1, receivedPosition: appliedPosition, appliedPosition })
  }
  const read = createPrimaryPositionReader({
    fleetState: {
      group: () => ({ record: { primary: 'db-1' }, revision: 1 }), databases: () => new Map([['db-1', { id: 'db-1' }]])
    },
    records: { becomeUser: async () => true, canUse: () => true },
    positions,
    control: { run },
    clock
  } as unknown as PrimaryPositionOptions)
  return { state, positions, read }
}

// Guards against a position that is known already where the requester can only use a newer one.
test('a known position is returned up to the requested age, and a new one is read for less', async t => {
  const { state, read } = createEnvironment()
  state.nowMs = 100
  t.like(await read('g', 150), { position: '1.100', coversUntil: { monotonicMs: 100 } })
  state.nowMs = 140
  t.is((await read('g', 150))?.position, '1.100')
  t.is(state.statusCount, 1)
  t.like(await read('g', 20), { position: '1.140', coversUntil: { monotonicMs: 140 } })
  t.is((await read('g', 0))?.position, '1.145')
  t.is(state.statusCount, 3)
})

// Guards against a status request, which occupies a slot of the primary, for each of many reads.
test('those that ask at the same time share a status request, and none gets one that began before', async t => {
  const { state, read } = createEnvironment()
  const first = read('g', 0)
  state.nowMs = 3
  const later = await Promise.all(Array.from({ length: 20 }, () => read('g', 0)))
  t.is((await first)?.coversUntil.monotonicMs, 3)
  t.is(state.statusCount, 2)
  for (const sample of later) t.true(sample !== undefined && sample.coversUntil.monotonicMs >= 3)
})

test('a position known before the primary fell silent is returned with its age', async t => {
  const { state, read } = createEnvironment()
  await read('g', 0)
  Object.assign(state, { nowMs: 400, isSilent: true })
  t.like(await read('g', 0), { position: '1.0', coversUntil: { monotonicMs: 0 } })
})
