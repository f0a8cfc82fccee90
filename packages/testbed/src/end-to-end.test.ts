import test from 'ava'
import { sleepMs } from '@egretyoke/common'
import { createCaller } from './caller.js'
import { smallFleet } from './fleet-description.js'
import { startFleet } from './start-fleet.js'

const maxReplicaAttempts = 20

test('a caller writes through one VM and reads its own write from a replica through another', async t => {
  const fleet = await startFleet(smallFleet(2), { withoutStewards: true })
  const caller = createCaller(fleet.callerAddresses())
  const key = fleet.keyOf('yard-1')
  try {
    const written = await caller.execute(0, { key, route: 'write', statement: 'add berth 1 op=first' })
    t.is(written.kind, 'done', written.reason)
    const { sessionToken } = written
    let servedByReplica = false
    for (let attempt = 0; attempt < maxReplicaAttempts && !servedByReplica; attempt++) {
      const read = await caller.execute(1, { key, route: 'read', statement: 'get berth', sessionToken })
      t.is(read.kind, 'done', read.reason)
      t.is(read.result, '1')
      servedByReplica = read.fromReplica
      await sleepMs(50)
    }
    t.true(servedByReplica)
    const forged = key.slice(0, -1) + (key.endsWith('a') ? 'b' : 'a')
    const refused = await caller.execute(0, { key: forged, route: 'write', statement: 'add berth 1 op=second' })
    t.is(refused.kind, 'notRun')
    const foreign = fleet.keyOf('yard-2').replace('yard-2', 'yard-1')
    t.is((await caller.execute(1, { key: foreign, route: 'read', statement: 'get berth' })).kind, 'notRun')
    const log = await fleet.readLog('db-1')
    t.deepEqual(log.flatMap(entry => entry.statements), ['add berth 1 op=first'])
  } finally {
    caller.close()
    await fleet.close()
  }
})
