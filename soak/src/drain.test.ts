/**
 * Graceful shutdown on SIGTERM: the gateway accepts no new callers, open transactions finish, and then the process
 * exits.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createRandom, sleepMs } from '@egretyoke/common'
import test from 'ava'
import { openCallerConnection } from './caller-connection.js'
import { soakTimes } from './gateway-process.js'
import { createSoakRecord } from './soak-record.js'
import { keyOf, startSoakWorld } from './soak-world.js'

const key = keyOf('yard-a')
/** The balancer removes a gateway from rotation after two failed checks, half a second apart. */
const balancerNoticeMs = 1500

test('on SIGTERM a gateway leaves the rotation, finishes open transactions and exits in its grace period', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'egretyoke-drain-'))
  const world = await startSoakWorld({ gateways: 2, folder, record: createSoakRecord(), random: createRandom(1) })
  t.teardown(async () => {
    await world.close()
    rmSync(folder, { recursive: true })
  })
  const [leaving, other] = world.gateways
  const inTransaction = (await openCallerConnection(leaving.callerPort, 'slots', key))!
  const resting = (await openCallerConnection(leaving.callerPort, 'boards', key))!
  await inTransaction.ask('QUERY - BEGIN')
  t.is((await inTransaction.ask('QUERY w1 WRITE a x'))?.error, '')

  const signalledMs = performance.now()
  leaving.signal('SIGTERM')
  await sleepMs(1000)
  t.is((await inTransaction.ask('QUERY w2 WRITE b x'))?.error, '')
  t.is((await inTransaction.ask('QUERY c1 COMMIT'))?.error, '')
  await sleepMs(balancerNoticeMs - 1000)
  t.false(leaving.isInRotation())
  t.true(other.isInRotation())
  while (inTransaction.isOpen() || resting.isOpen()) await sleepMs(20)
  t.true(performance.now() - signalledMs < soakTimes.graceMs)
  t.deepEqual(world.databases.finalLogs().kept, ['w1', 'w2'])
  t.is((await (await openCallerConnection(other.callerPort, 'slots', key))?.ask('QUERY w3 WRITE c x'))?.error, '')
})
