/**
 * The operator takes a key away from one tenant and gives it to another one while a client with that key is inside a
 * transaction. Checks that later statements run for the tenant that holds the key, or not at all.
 */
import { fileURLToPath } from 'node:url'
import { openSession } from '../standins/caller.mjs'
import { randomName, runCase, startEnvironment } from '../standins/environment.mjs'
import { openRecord, sleepMs } from '../standins/record.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const regions = { 'muc-a': 'muc', 'nue-a': 'nue', 'rgb-a': 'rgb' }
const calmMs = 2000
/** Below `txIdleMs`, 3 s, and within the 12 statements of a transaction. */
const pauseMs = 2000
const statements = 6
/** After this time a key that was taken away must be refused, and after `configApplyMs` the new version is in force. */
const revokeMs = 5000
const key = randomName('key')
const database = randomName('xapu')
const tenantsWith = (...keys) => ['nypu920', 'kahu620'].map((name, index) => ({ name, apiKeys: keys[index] }))

runCase(async () => {
  const record = openRecord(fileURLToPath(new URL('.', import.meta.url)))
  const sent = new Map()
  let holder = 'nypu920'
  let movedAtMs = Infinity
  let broken = 0
  const onRun = ({ database: { id: databaseId }, connection, tenant, id, text }) => {
    if (id === '-') return
    record.write(`${databaseId} runs ${id} for ${tenant} on connection ${connection}: ${text}`)
    const lateMs = (sent.get(id) ?? 0) - movedAtMs
    if (tenant === holder || lateMs < revokeMs) return
    broken++
    record.write(`${id} was sent ${Math.round(lateMs)} ms after the key had been given to ${holder}`)
  }
  const { machines, configure, close } = await startEnvironment({
    record,
    regions,
    machineZones: Object.keys(regions),
    databaseZones: Object.keys(regions),
    replicationMs: () => 16,
    routes: [{ database, routeType: 'primary' }],
    tenants: tenantsWith([key], []),
    onRun
  })
  await sleepMs(calmMs)
  const session = await openSession(machines[0].front, database, key)
  if (session === undefined) throw new Error('the session was refused')
  let number = 0
  let successes = 0
  const send = async text => {
    const id = `r${++number}`
    sent.set(id, performance.now())
    record.write(`client sends ${id}: ${text}`)
    const answer = await session.query(id, text)
    record.write(`client gets for ${id}: ${answer.lost ? 'no answer' : answer.error ?? 'success'}`)
    if (answer.signature !== undefined) successes++
    return answer
  }
  await send('BEGIN')
  await send('WRITE listing data')
  configure(hasTrouble ? { tenants: tenantsWith([], [key]) } : {})
  if (hasTrouble) {
    holder = 'kahu620'
    movedAtMs = performance.now()
    record.write(`the key is taken away from nypu920 and given to ${holder}`)
  }
  for (let statement = 0; statement < statements && session.isOpen(); statement++) {
    await sleepMs(pauseMs)
    await send('READ listing')
  }
  await send('COMMIT')
  session.close()
  await close()
  record.write(`${successes} successes, ${broken} requests run for a tenant that does not hold the client's key`)
  await record.close()
  if (successes < 2) throw new Error('the transaction could not begin')
  return broken === 0
})
