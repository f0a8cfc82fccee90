/**
 * The choice among a group's databases, in calm and while many gateways have equally old reports.
 */
import { createRandom } from '@egretyoke/common'
import test from 'ava'
import { orderByTime } from './database-choice.js'

const group = (local: number, inRegion: number, remote: number) => [
  { database: 'remote', networkMs: 60, isInOwnRegion: false, expectedMs: remote },
  { database: 'local', networkMs: 0, isInOwnRegion: true, expectedMs: local },
  { database: 'inRegion', networkMs: 4, isInOwnRegion: true, expectedMs: inRegion }
]

/** How often each database is tried first by 3,000 gateways with the same reports. */
const firstChoices = (items: ReturnType<typeof group>) => {
  const { fraction } = createRandom(7)
  const counts: Record<string, number> = { local: 0, inRegion: 0, remote: 0 }
  for (let gateway = 0; gateway < 3000; gateway++) counts[orderByTime(items, fraction)[0]!]!++
  return counts
}

test('in calm the nearest database is tried first, also if another one seems a little faster', t => {
  t.deepEqual(firstChoices(group(25, 25, 25)), { local: 3000, inRegion: 0, remote: 0 })
  t.deepEqual(firstChoices(group(40, 25, 25)), { local: 3000, inRegion: 0, remote: 0 })
})

// Guards against gateways that all move to the same database, and from there to the next.
test('when the nearest database is clearly worse, the gateways spread over those that are close', t => {
  const { local, inRegion, remote } = firstChoices(group(110, 70, 25))
  t.is(remote, 0)
  t.true(local! > 1000 && inRegion! > 1000, `${local} ${inRegion}`)
})

test('another region is used only when the expected time in the own one is clearly worse', t => {
  t.is(firstChoices(group(100, 90, 25)).remote, 0)
  const { local, inRegion, remote } = firstChoices(group(400, 300, 25))
  t.deepEqual([local, inRegion, remote], [0, 0, 3000])
})

test('the other databases follow in the order of their times, and none is left out', t => {
  t.deepEqual(orderByTime(group(25, 300, 30), () => 0.5), ['local', 'remote', 'inRegion'])
  t.deepEqual(orderByTime([], () => 0.5), [])
})
