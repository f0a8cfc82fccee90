/**
 * A route of the kind `bounded_staleness` that permits no staleness, while replicas fall behind: its reads lack commits
 * that were acknowledged long before.
 */
import { startSoakDatabases } from '../../soak/dist/soak-databases.js'
import { openSession } from '../standins-3/caller.mjs'
import { ports, sleepMs, startDeployment, waitUntil } from '../standins-3/deployment.mjs'
import { createRecord, hasTrouble, runScript, verdicts } from '../standins-3/record.mjs'

const write = createRecord(import.meta.url)

/** Replicas apply what they receive 20 ms late, by the sheet, and 50 times as late under the disruption. */
const usualLagMs = 20
const lagMs = hasTrouble ? 50 * usualLagMs : usualLagMs
const maxStalenessMs = 0
const rounds = 100
/** Time from the acknowledgement of a commit to the first read after it. */
const readAfterMs = 150
const readsPerRound = 4

const service = 'bookings'
const zones = { quay: 'north', yard: 'south', dock: 'west' }
const route = { service, timeoutMs: 1200, targetLatencyMs: 500, priority: 1 }
const configuration = {
  version: 1,
  routes: [
    { ...route, database: 'slots', routeType: 'primary', maxStalenessMs: 0 },
    { ...route, database: 'boards', routeType: 'bounded_staleness', maxStalenessMs }
  ],
  services: [{ name: service, maxConns: 32 }],
  limits: { txIdleMs: 3000 },
  tenants: [{ name: 'yard', apiKeys: ['key-of-yard'], ratePerS: 500, burstSize: 500 }]
}

const entryOf = ({ dataCentre, port, role, startedAtMs }) => ({
  service,
  address: `127.0.0.1:${port}`,
  zone: dataCentre,
  version: '1',
  slots: 3,
  state: 'ready',
  coldRemainingMs: 0,
  seqNum: 1,
  dbRole: role,
  born: startedAtMs
})

const open = async ({ ip }, database) => await openSession(ip, ports.front, database, 'key-of-yard')

await runScript(write, async onClose => {
  const record = { sent: new Map(), executed: [] }
  const group = await startSoakDatabases({
    service, dataCentres: Object.keys(zones), record, random: { chance: () => false }, lagMs: () => lagMs
  })
  onClose(group.close)
  const deployment = await startDeployment({
    configuration,
    entries: Object.fromEntries(group.databases.map(database => [database.id, entryOf(database)])),
    zoneOf: Object.keys(zones),
    zones,
    onFailover: group.promote
  })
  onClose(deployment.close)
  if (!deployment.isUp) return verdicts.couldNotRun
  const writer = await open(deployment.gateways[0], 'slots')
  const readers = await Promise.all(deployment.gateways.map(gateway => open(gateway, 'boards')))

  /** Writes by time of their acknowledgement. */
  const commits = []
  let number = 0
  const commit = async () => {
    const id = `w${++number}`
    const answer = await writer.send(`QUERY ${id} WRITE 1a4 data`)
    if (answer.code === 'COMPLETE') commits.push({ id, acknowledgedAtMs: performance.now() })
    return answer.code === 'COMPLETE'
  }
  if (!await waitUntil(commit, 8000)) return verdicts.couldNotRun
  await sleepMs(2 * lagMs)

  /** A read must see each commit that was acknowledged more than `maxStalenessMs` before its first byte. */
  const read = async reader => {
    const id = `r${++number}`
    const nowMs = performance.now()
    const due = commits.filter(({ acknowledgedAtMs }) => acknowledgedAtMs < nowMs - maxStalenessMs)
    record.sent.set(id, { mustSee: due.slice(-1).map(last => last.id) })
    const ageMs = Math.round(nowMs - (due.at(-1)?.acknowledgedAtMs ?? nowMs))
    const answer = await reader.send(`QUERY ${id} READ 1a4`)
    return { id, ageMs, isServed: answer.code === 'COMPLETE' }
  }
  const reads = []
  for (let round = 0; round < rounds; round++) {
    await commit()
    await sleepMs(readAfterMs)
    for (let index = 0; index < readsPerRound; index++) reads.push(await read(readers[index % readers.length]))
  }
  const stale = reads.flatMap(({ id, ageMs, isServed }) => {
    const run = record.executed.findLast(({ requestId }) => requestId === id)
    return isServed && run?.missing ? [{ id, ageMs, ...run }] : []
  })
  for (const { id, ageMs, database, missing } of stale.slice(0, 20)) {
    write(`read ${id} ran on ${database}, which lacks ${missing}, acknowledged ${ageMs} ms before its first byte`)
  }
  write(`${commits.length} commits acknowledged, ${reads.filter(({ isServed }) => isServed).length} of ` +
    `${reads.length} reads served, ${stale.length} of them without a commit that they must see`)
  return stale.length > 0 ? verdicts.broken : verdicts.held
})
