/**
 * Reads while replicas lag by seconds.
 */
import test from 'ava'
import { createReplicaLag } from './replica-lag.js'
import type { ReplicaLag } from './replica-lag.js'

const bounded = { group: 'bookings', ownPosition: '', maxStalenessMs: 1500 }

/** Sends the read if the replica may serve it; the replica declines it if it lags by more than is tolerated. */
const sendRead = (lag: ReplicaLag, replicaLagMs: number, tolerated: number, nowMs: number) => {
  if (!lag.canServe('db-2', tolerated, nowMs)) return 'skipped'
  lag.start('db-2', tolerated, nowMs)
  if (replicaLagMs <= tolerated) {
    lag.recordServed('db-2', tolerated)
    return 'served'
  }
  lag.recordDeclined('db-2', tolerated, nowMs, nowMs)
  return 'declined'
}

// Guards against reads that a lagging replica declines one after the other.
test('a replica that lags by 6 s declines few of 4 s of reads, and serves soon after it has caught up', t => {
  const lag = createReplicaLag()
  const counts = { skipped: 0, served: 0, declined: 0 }
  for (let nowMs = 0; nowMs < 4000; nowMs += 10) counts[sendRead(lag, 6000, lag.toleratedMs(bounded, nowMs), nowMs)]++
  t.is(counts.served, 0)
  t.true(counts.declined <= 7, `${counts.declined} of 400 declined`)
  let servedAtMs = 4000
  while (sendRead(lag, 20, lag.toleratedMs(bounded, servedAtMs), servedAtMs) !== 'served') servedAtMs += 10
  t.true(servedAtMs <= 5000)
  t.is(sendRead(lag, 20, lag.toleratedMs(bounded, servedAtMs), servedAtMs + 1), 'served')
})

// Guards against reads of a whole group that leave their region for one session that has just written.
test('a replica that lacks a commit of 10 ms ago still serves reads that tolerate more', t => {
  const lag = createReplicaLag()
  lag.recordPrimary('bookings', '1.7', 1000)
  const own = { ...bounded, ownPosition: '1.7' }
  t.is(sendRead(lag, 90, lag.toleratedMs(own, 1010), 1010), 'declined')
  t.is(sendRead(lag, 90, lag.toleratedMs(own, 1010), 1010), 'skipped')
  t.is(sendRead(lag, 90, lag.toleratedMs(bounded, 1011), 1011), 'served')
  t.is(sendRead(lag, 90, lag.toleratedMs(own, 1100), 1100), 'served')
})

test('what a read tolerates is the age of the own commit, up to the permitted staleness', t => {
  const lag = createReplicaLag()
  t.is(lag.toleratedMs({ ...bounded, maxStalenessMs: undefined }, 0), Infinity)
  t.is(lag.toleratedMs({ ...bounded, maxStalenessMs: 0 }, 0), 0)
  t.is(lag.toleratedMs({ ...bounded, ownPosition: '1.9' }, 0), 1200)
  for (let number = 1; number <= 500; number++) lag.recordPrimary('bookings', `1.${number}`, number * 20)
  t.is(lag.toleratedMs({ ...bounded, ownPosition: '1.495' }, 10_000), 100)
  t.is(lag.toleratedMs({ ...bounded, ownPosition: '1.2' }, 10_000), 1200)
  lag.recordPrimary('bookings', '2.1', 10_010)
  t.is(lag.toleratedMs({ ...bounded, ownPosition: '2.1' }, 10_060), 50)
})

test('the position in a reply shows the lag without a decline', t => {
  const lag = createReplicaLag()
  for (let number = 1; number <= 100; number++) lag.recordPrimary('bookings', `1.${number}`, number * 50)
  t.false(lag.recordReplica('bookings', 'db-2', '1.99', 5000))
  t.true(lag.canServe('db-2', 1200, 5000))
  t.true(lag.recordReplica('bookings', 'db-2', '1.40', 5000))
  t.false(lag.canServe('db-2', 1200, 5001))
  t.true(lag.canServe('db-2', 4000, 5001))
  t.true(lag.canServe('db-2', 1200, 5300))
})

test('a primary that commits nothing makes no replica seem to lag', t => {
  const lag = createReplicaLag()
  lag.recordPrimary('bookings', '1.7', 0)
  t.false(lag.recordReplica('bookings', 'db-2', '1.7', 60_000))
  t.true(lag.canServe('db-2', 10, 60_000))
})
