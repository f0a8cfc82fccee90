/**
 * The farther replica receives nothing for a while; meanwhile a region is lost with the primary and the replica that
 * has received the newest commits (`syncReplicas` 1). Checks that the database that is promoted has every acknowledged
 * commit in its log.
 */
import { fileURLToPath } from 'node:url'
import { openSession } from '../standins/caller.mjs'
import { randomName, runCase, startEnvironment } from '../standins/environment.mjs'
import { openRecord, sleepMs, waitFor } from '../standins/record.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const regions = { 'muc-a': 'muc', 'muc-b': 'muc', 'nue-a': 'nue' }
const lostRegion = 'muc'
const calmMs = 6000
/** `replica_lag` with `deaf` lasts 6.5 s on modhafen, and `region_loss` 6 s. */
const deafMs = 6500
const deafBeforeMs = 500
const lostMs = 6000
const afterMs = 10_000
const writers = 4
const key = randomName('key')
const database = randomName('xapu')

/** One way 1.4 ms between zones of a region, and 8 ms between regions. */
const replicationMs = (from, to) => regions[from.zone] === regions[to.zone] ? 1.4 : 8

runCase(async () => {
  const record = openRecord(fileURLToPath(new URL('.', import.meta.url)))
  const acknowledged = []
  const lost = new Set()
  let promotions = 0
  const onPromoted = (promoted, group) => {
    promotions++
    for (const id of acknowledged) if (!group.has(promoted, id)) lost.add(id)
    const missing = acknowledged.filter(id => lost.has(id))
    record.write(`acknowledged until then: ${acknowledged.length} commits; not in its log: ${missing.length}` +
      `${missing.length === 0 ? '' : `, the last of them ${missing.at(-1)}`}`)
  }
  const environment = await startEnvironment({
    record,
    regions,
    machineZones: ['muc-a', 'muc-b', 'nue-a', 'nue-a'],
    databaseZones: ['muc-a', 'muc-b', 'nue-a'],
    syncReplicas: 1,
    replicationMs,
    routes: [{ database, routeType: 'primary' }],
    tenants: [{ name: 'nypu920', apiKeys: [key] }],
    onPromoted
  })
  const { group, machines } = environment
  let isRunning = true

  /** Writes one commit after the other through a gateway outside the region, and connects again after a loss. */
  const write = async (writer, gateway) => {
    for (let number = 0; isRunning;) {
      const session = await openSession(gateway.front, database, key)
      while (isRunning && session?.isOpen()) {
        const id = `w${writer}n${number++}`
        const answer = await session.query(id, `WRITE item${number} data${id}`)
        const outcome = answer.lost ? 'no answer' : answer.error ?? 'success'
        record.write(`client ${writer} ${id}: ${outcome}`)
        if (outcome === 'success') acknowledged.push(id)
        else await sleepMs(100)
      }
      await sleepMs(100)
    }
  }
  const outside = machines.filter(({ zone }) => regions[zone] !== lostRegion)
  const clients = Array.from({ length: writers }, (_, index) => write(index, outside[index % outside.length]))
  await sleepMs(calmMs)
  if (acknowledged.length === 0) throw new Error('no commit was acknowledged before the disruption')

  if (hasTrouble) {
    const deaf = group.databases.find(({ zone }) => regions[zone] !== lostRegion)
    record.write(`${deaf.id} receives nothing for ${deafMs} ms`)
    group.setDeaf(deaf, true)
    setTimeout(() => group.setDeaf(deaf, false), deafMs)
    await sleepMs(deafBeforeMs)
    const inside = machines.filter(({ zone }) => regions[zone] === lostRegion)
    record.write(`region ${lostRegion} is lost for ${lostMs} ms`)
    for (const machine of inside) machine.signal('SIGKILL')
    const lostDatabases = group.databases.filter(({ zone }) => regions[zone] === lostRegion)
    for (const each of lostDatabases) group.darken(each)
    await sleepMs(lostMs)
    record.write(`region ${lostRegion} is back`)
    for (const each of lostDatabases) group.restart(each)
    for (const machine of inside) environment.restart(machine)
  }
  await waitFor(() => lost.size > 0, afterMs)
  isRunning = false
  await Promise.race([Promise.all(clients), sleepMs(6000)])
  await environment.close()
  record.write(`${acknowledged.length} commits acknowledged, ${promotions} promotions, ` +
    `${lost.size} acknowledged commits missing at a promoted database`)
  await record.close()
  return lost.size === 0
})
