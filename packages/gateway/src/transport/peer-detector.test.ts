/**
 * Failure detection of a link under the loads that it must tell apart; time is simulated.
 */
import test from 'ava'
import { createAwakeClock } from './awake-clock.js'
import { planPings, tickIntervalMs } from './idle-pings.js'
import { createPeerDetector, doubtsItself } from './peer-detector.js'
import type { HostEvidence, PeerState } from './peer-detector.js'

const fastMs = 2
const limitMs = 1500

type Load = {
  /** Time until the peer answers a message that is sent at this moment; undefined if never. */
  answerMs: (sentMs: number) => number | undefined
  /** What a new connection shows from time 0; before, it is accepted. */
  host?: HostEvidence
  isSelfDoubted?: boolean
  /** Moments at which this process does not run. */
  isStalled?: (nowMs: number) => boolean
  /** Offset of the ticks and of the statements to the start of the load. */
  offsetMs: number
  untilMs?: number
}

/** A statement is always under way; returns the changes of the verdict, with their times from 0. */
const watch = ({ answerMs, host = 'none', isSelfDoubted = false, isStalled, offsetMs, untilMs = 4000 }: Load) => {
  const detector = createPeerDetector()
  const clock = createAwakeClock(tickIntervalMs * 1.25)
  const replies: Array<{ atMs: number, isPong: boolean }> = []
  const changes: Array<{ atMs: number, state: PeerState }> = []
  let lastReplyMs = -4000
  let state: PeerState = 'trusted'
  const sendAt = (nowMs: number, isPong: boolean) => {
    const delayMs = answerMs(nowMs)
    if (delayMs !== undefined) replies.push({ atMs: nowMs + delayMs, isPong })
    if (isPong) detector.pingSent(clock.awakeMs(nowMs))
    else detector.requestSent(clock.awakeMs(nowMs))
  }
  let isTickDue = false
  for (let nowMs = -4000; nowMs < untilMs; nowMs++) {
    isTickDue ||= (nowMs - offsetMs) % tickIntervalMs === 0
    if (isStalled?.(nowMs)) continue
    if (isTickDue) {
      isTickDue = false
      clock.tick(nowMs)
      const next = detector.state(clock.awakeMs(nowMs), { host: nowMs < 0 ? 'accepts' : host, isSelfDoubted })
      if (next !== state) changes.push({ atMs: nowMs, state: next })
      state = next
      if (state === 'gone') return changes
      const plan = planPings({ memberCount: 80, linkCount: 60, isReadinessNeeded: false })
      if (plan.acquire('reply', nowMs - lastReplyMs)) sendAt(nowMs, true)
    }
    for (const { isPong } of replies.filter(({ atMs }) => atMs <= nowMs)) {
      detector.received(clock.awakeMs(nowMs), isPong)
      lastReplyMs = nowMs
      if (state === 'suspected') changes.push({ atMs: nowMs, state: 'trusted' })
      state = 'trusted'
    }
    replies.splice(0, replies.length, ...replies.filter(({ atMs }) => atMs > nowMs))
    // Statements at intervals that are no multiple of the ticks.
    if (nowMs % 270 === 0) sendAt(nowMs, false)
  }
  return changes
}

const offsets = Array.from({ length: 20 }, (_, index) => index * 10)
const goneAt = (changes: ReturnType<typeof watch>) => changes.find(({ state }) => state === 'gone')?.atMs
const states = (changes: ReturnType<typeof watch>) => changes.map(({ state }) => state)

/** A peer that does not run from 0 to `durationMs` and then answers everything. */
const stalledFor = (durationMs: number) => (sentMs: number) =>
  sentMs + fastMs >= 0 && sentMs < durationMs ? durationMs - sentMs + fastMs : fastMs

// Guards against losing every statement at a peer that is slow under a burst.
test('a peer that is slow for a second is suspected, not given up, and trusted again', t => {
  for (const offsetMs of offsets) {
    const changes = watch({ answerMs: stalledFor(1000), host: 'accepts', offsetMs })
    t.deepEqual(states(changes), ['suspected', 'trusted'], `offset ${offsetMs}`)
  }
  for (const offsetMs of offsets) {
    const slowEach = (sentMs: number) => sentMs >= 0 && sentMs < 3000 ? 1000 : fastMs
    t.is(goneAt(watch({ answerMs: slowEach, host: 'accepts', offsetMs })), undefined, `offset ${offsetMs}`)
  }
})

// Guards against statements that wait for a vanished peer until their own timeout.
test('a peer that answered fast and vanishes is given up 700 ms after the first unanswered ping', t => {
  for (const offsetMs of offsets) {
    const changes = watch({ answerMs: sentMs => sentMs < 0 ? fastMs : undefined, offsetMs })
    const suspectedMs = changes.find(({ state }) => state === 'suspected')?.atMs ?? Infinity
    const lostMs = goneAt(changes) ?? Infinity
    t.true(suspectedMs <= 800 && lostMs <= 1000, `offset ${offsetMs}: ${suspectedMs}, ${lostMs}`)
    t.true(lostMs - suspectedMs <= 700 - 390)
  }
})

test('a peer that is gone is given up within 1.5 s, whatever the other evidence and the usual delay', t => {
  for (const [host, isSelfDoubted] of [['accepts', false], ['none', true], ['none', false]] as const) {
    for (const usualMs of [fastMs, 300, 900, 1100]) {
      for (const offsetMs of offsets) {
        const answerMs = (sentMs: number) => sentMs < -usualMs ? usualMs : undefined
        const lostMs = goneAt(watch({ answerMs, host, isSelfDoubted, offsetMs }))
        const label = `${host} ${isSelfDoubted} ${usualMs} ${offsetMs}: ${lostMs}`
        t.true(lostMs !== undefined && lostMs > 0 && lostMs <= limitMs, label)
      }
    }
  }
})

test('a peer whose host refuses connections is given up at once', t => {
  const detector = createPeerDetector()
  detector.pingSent(0)
  t.is(detector.state(1, { host: 'refuses', isSelfDoubted: false }), 'gone')
})

test('a peer that usually takes long is suspected later', t => {
  const changes = watch({ answerMs: () => 600, offsetMs: 0 })
  t.is(goneAt(changes), undefined)
  t.false(changes.some(({ atMs }) => atMs > 0), JSON.stringify(changes))
})

// Guards against counting this process's own delay as the silence of all its peers.
test('while this process is stalled for a second, no peer is suspected', t => {
  for (const offsetMs of offsets) {
    const isStalled = (nowMs: number) => nowMs >= 0 && nowMs < 1000
    t.deepEqual(watch({ answerMs: () => fastMs, isStalled, offsetMs }), [], `offset ${offsetMs}`)
  }
})

// Guards against failing the statements at half of the fleet for a fault of this gateway's own network.
test('when half of the peers are silent, a gateway gives none up before 1.2 s', t => {
  t.true(doubtsItself({ silent: 6, heard: 6 }))
  t.false(doubtsItself({ silent: 5, heard: 6 }))
  t.false(doubtsItself({ silent: 2, heard: 0 }))
  for (const offsetMs of offsets) {
    const changes = watch({ answerMs: sentMs => sentMs < 0 ? fastMs : undefined, isSelfDoubted: true, offsetMs })
    const lostMs = goneAt(changes) ?? 0
    t.true(lostMs >= 1200 && lostMs <= limitMs, `offset ${offsetMs}: ${lostMs}`)
    t.deepEqual(states(watch({ answerMs: stalledFor(1000), isSelfDoubted: true, offsetMs })), ['suspected', 'trusted'])
  }
})

// Guards against other holders being used while the links of a fleet that starts are being opened.
test('a peer that has never answered is suspected after 600 ms, and given up after 800 ms if its host is silent', t => {
  const detector = createPeerDetector()
  detector.opened()
  detector.pingSent(0)
  const stateAt = (nowMs: number, host: HostEvidence) => detector.state(nowMs, { host, isSelfDoubted: false })
  t.is(stateAt(400, 'none'), 'trusted')
  t.is(stateAt(600, 'none'), 'suspected')
  t.is(stateAt(800, 'accepts'), 'suspected')
  t.is(stateAt(800, 'none'), 'gone')
})

// Guards against counting the age of a message that needs no reply as the peer's silence.
test('silence before the first unanswered ping counts only as long as pings may be late', t => {
  const detector = createPeerDetector()
  detector.pingSent(0)
  detector.received(2, true)
  detector.requestSent(10)
  detector.pingSent(60_000)
  t.is(detector.silentMs(60_100), 500)
  t.is(detector.state(60_450, { host: 'accepts', isSelfDoubted: false }), 'suspected')
})
