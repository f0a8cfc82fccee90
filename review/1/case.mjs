/**
 * The path between the gateway that holds a primary's connections and the primary loses packets of one new connection,
 * so that the first statement of a transaction runs after the entry gateway has given it up. The client begins its next
 * transaction in the same session. Checks that nothing of an aborted attempt is committed, that each transaction runs
 * on one connection, and that a committed one is in the log.
 */
import { fileURLToPath } from 'node:url'
import { openSession } from '../standins/caller.mjs'
import { randomName, runCase, startEnvironment } from '../standins/environment.mjs'
import { openRecord, sleepMs } from '../standins/record.mjs'
import { retransmissionMs, startSlowPath } from '../standins/slow-path.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const regions = { 'muc-a': 'muc', 'nue-a': 'nue', 'rgb-a': 'rgb' }
const pathPort = 8400
/** Packets of the connection that are lost, each twice in a row. */
const lostPackets = 2
const losses = 2
const calmMs = 3000
const pauseMs = 400
const attempts = 10
const key = randomName('key')
const database = randomName('xapu')

runCase(async () => {
  const record = openRecord(fileURLToPath(new URL('.', import.meta.url)))
  const runs = []
  const onRun = run => {
    if (run.id === '-') return
    runs.push(run)
    record.write(`${run.database.id} runs ${run.id} on connection ${run.connection}: ${run.text}`)
  }
  let isLossy = false
  const lossesOf = (text, connection) => {
    if (text.startsWith('START ') && !text.includes(' egretyoke ')) {
      connection.remaining = isLossy ? lostPackets : 0
      isLossy = false
    }
    // The answers to START and to BEGIN.
    if (!(connection.remaining > 0) || !/^(READY|COMPLETE) /.test(text)) return 0
    connection.remaining--
    record.write(`lost twice on the path, so ${retransmissionMs(losses)} ms late: ${JSON.stringify(text)}`)
    return losses
  }
  const paths = []
  const { group, machines, close } = await startEnvironment({
    record,
    regions,
    machineZones: Object.keys(regions),
    databaseZones: Object.keys(regions),
    replicationMs: () => 16,
    routes: [{ database, routeType: 'primary' }],
    tenants: [{ name: 'nypu920', apiKeys: [key] }],
    onRun,
    databaseAddressOf: async (address, { id }, nextAddress) => {
      if (!id.endsWith('-0')) return address
      const path = await startSlowPath(nextAddress(), pathPort, address, lossesOf)
      paths.push(path)
      return path.address
    }
  })
  await sleepMs(calmMs)
  const entry = machines.find(({ zone }) => zone !== group.leader().zone)
  let number = 0
  const aborted = []
  const committed = []

  /** Runs one transaction of two writes, and notes whether it was committed or aborted. */
  const transact = async session => {
    const ids = []
    const send = async text => {
      const id = `r${++number}`
      if (text.startsWith('WRITE')) ids.push(id)
      record.write(`client sends ${id}: ${text}`)
      const answer = await session.query(id, text)
      record.write(`client gets for ${id}: ${answer.lost ? 'no answer' : answer.error ?? 'success'}`)
      return answer
    }
    let answer = await send('BEGIN')
    if (answer.signature === undefined) throw new Error('BEGIN was refused')
    for (const item of ['slot', 'barge']) {
      if (answer.signature === undefined) break
      if (ids.length > 0) await sleepMs(pauseMs)
      answer = await send(`WRITE ${item} data${number}`)
    }
    const end = await send(answer.signature === undefined ? 'ROLLBACK' : 'COMMIT')
    if (answer.error?.startsWith('ABORTED') || end.error?.startsWith('ABORTED')) aborted.push(ids)
    else if (answer.signature !== undefined && end.signature !== undefined) committed.push(ids)
  }

  const session = await openSession(entry.front, database, key)
  if (session === undefined) throw new Error('the session was refused')
  isLossy = hasTrouble
  for (let attempt = 0; attempt < attempts && session.isOpen(); attempt++) await transact(session)
  session.close()
  await close()
  for (const path of paths) path.close()

  let broken = 0
  const report = text => {
    broken++
    record.write(text)
  }
  const committedIds = new Set(group.leader().log.flatMap(({ ids }) => ids))
  for (const ids of aborted) {
    for (const id of ids.filter(each => committedIds.has(each))) {
      report(`REFUSED: ${id} is committed, though its attempt was aborted`)
    }
  }
  for (const ids of committed) {
    const connections = new Set(runs.filter(({ id }) => ids.includes(id)).map(({ connection }) => connection))
    if (connections.size > 1) report(`PINNED: ${ids.join(', ')} ran on the connections ${[...connections].join(', ')}`)
    for (const id of ids.filter(each => !committedIds.has(each))) {
      report(`also: ${id} is not committed, though its COMMIT succeeded`)
    }
  }
  record.write(`${committed.length} transactions committed, ${aborted.length} aborted, ${broken} findings`)
  await record.close()
  if (committed.length === 0) throw new Error('no transaction succeeded')
  return broken === 0
})
