/**
 * A client writes data that contains line feeds, which do not end a line of the protocol: only CR LF does. Checks that
 * the database runs exactly the requests that were sent, with the text that was sent.
 */
import { fileURLToPath } from 'node:url'
import { openSession } from '../standins/caller.mjs'
import { randomName, runCase, startEnvironment } from '../standins/environment.mjs'
import { openRecord, sleepMs } from '../standins/record.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const regions = { 'muc-a': 'muc', 'nue-a': 'nue', 'rgb-a': 'rgb' }
const rounds = 5
const key = randomName('key')
const database = randomName('xapu')

runCase(async () => {
  const record = openRecord(fileURLToPath(new URL('.', import.meta.url)))
  const sent = new Map()
  const unasked = []
  const onRun = ({ database: { id: databaseId }, tenant, id, text }) => {
    if (id === '-') return
    record.write(`${databaseId} runs for ${tenant}: ${JSON.stringify({ id, text })}`)
    if (sent.get(id) === text) return
    unasked.push(id)
    record.write(sent.has(id) ? 'its text was changed' : 'no client has sent this request')
  }
  const { machines, close } = await startEnvironment({
    record,
    regions,
    machineZones: Object.keys(regions),
    databaseZones: Object.keys(regions),
    replicationMs: () => 16,
    routes: [{ database, routeType: 'primary' }],
    tenants: [{ name: 'nypu920', apiKeys: [key] }],
    onRun
  })

  let number = 0
  let successes = 0
  const send = async (session, text) => {
    const id = `r${++number}`
    sent.set(id, text)
    record.write(`client sends: ${JSON.stringify({ id, text })}`)
    const { lost, error, signature } = await session.query(id, text)
    record.write(`client gets for ${id}: ${lost ? 'no answer' : error ?? `success ${signature}`}`)
    if (signature !== undefined) successes++
  }
  for (let round = 0; round < rounds; round++) {
    const session = await openSession(machines[round % machines.length].front, database, key)
    if (session === undefined) throw new Error('the session was refused')
    const separator = hasTrouble ? '\n' : ' '
    // The listing's text comes from a user of the caller; it looks like a request after its first line.
    await send(session, `WRITE listing${round} first-line${separator}QUERY x${round} WRITE account${round} taken-over`)
    await sleepMs(300)
    session.close()
  }
  await close()
  record.write(`${number} requests sent, ${successes} successes, ${unasked.length} runs that nobody asked for`)
  await record.close()
  if (successes === 0) throw new Error('no write succeeded')
  return unasked.length === 0
})
