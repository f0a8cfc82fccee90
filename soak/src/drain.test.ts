/**
 * Graceful shutdown on SIGTERM: the gateway accepts no new callers, open transactions finish, and then the process
 * exits.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createRandom, sleepMs } from '@egretyoke/common'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { openCallerConnection } from './caller-connection.js'
import { gatewayDeadlines } from './gateway-process.js'
import { createSoakRecord } from './soak-record.js'
import { keyOf, startSoakEnvironment } from './soak-environment.js'

const key = keyOf('yard-a')
/** The balancer removes a gateway from rotation after two failed checks, half a second apart. */
const rotationRemovalMs = 1500
/** A read that is sent before the half of the grace period, and done after three quarters of it. */
const sentAfterMs = 1200
const slowStatementMs = 1200

const startEnvironment = async (t: ExecutionContext) => {
  const folder = mkdtempSync(join(tmpdir(), 'egretyoke-drain-'))
  const environment = await startSoakEnvironment({
    gateways: 2, folder, record: createSoakRecord(), random: createRandom(1)
  })
  t.teardown(async () => {
    await environment.close()
    rmSync(folder, { recursive: true })
  })
  return environment
}

test('on SIGTERM a gateway leaves the rotation, finishes open transactions and exits in its grace period', async t => {
  const environment = await startEnvironment(t)
  const [leaving, other] = environment.gateways
  const inTransaction = (await openCallerConnection(leaving.callerPort, 'slots', key))!
  const idle = (await openCallerConnection(leaving.callerPort, 'boards', key))!
  await inTransaction.send('QUERY - BEGIN')
  t.is((await inTransaction.send('QUERY w1 WRITE a x'))?.error, '')

  const signalledMs = performance.now()
  leaving.signal('SIGTERM')
  await sleepMs(1000)
  t.is((await inTransaction.send('QUERY w2 WRITE b x'))?.error, '')
  t.is((await inTransaction.send('QUERY c1 COMMIT'))?.error, '')
  await sleepMs(rotationRemovalMs - 1000)
  t.false(leaving.isInRotation())
  t.true(other.isInRotation())
  while (inTransaction.isOpen() || idle.isOpen()) await sleepMs(20)
  t.true(performance.now() - signalledMs < gatewayDeadlines.graceMs)
  t.deepEqual(environment.databases.finalLogs().kept, ['w1', 'w2'])
  t.is((await (await openCallerConnection(other.callerPort, 'slots', key))?.send('QUERY w3 WRITE c x'))?.error, '')
})

// Guards against answers that are cut off although the database gives them within the grace period.
test('a read that runs until shortly before the end of the grace period is answered', async t => {
  const environment = await startEnvironment(t)
  const [leaving] = environment.gateways
  const caller = (await openCallerConnection(leaving.callerPort, 'boards', key))!
  t.is((await caller.send('QUERY r1 READ a'))?.error, '')
  for (const database of environment.databases.databases) database.statementMs = slowStatementMs
  const signalledMs = performance.now()
  leaving.signal('SIGTERM')
  await sleepMs(sentAfterMs)
  t.is((await caller.send('QUERY r2 READ a'))?.error, '')
  const answeredMs = performance.now() - signalledMs
  t.true(answeredMs > sentAfterMs + slowStatementMs - 10 && answeredMs < gatewayDeadlines.graceMs)
  t.is((await caller.send('QUERY r3 READ a'))?.error, 'BUSY')
})
