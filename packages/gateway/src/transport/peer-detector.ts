/**
 * Decides from the messages of one link whether its peer is suspected or gone.
 *
 * Load patterns: a peer that is slow for a second under a burst, a peer that has vanished without a reset, and half of
 * the peers silent at once. A suspicion only directs new statements elsewhere, so it is raised early: when a ping has
 * been unanswered for longer than is usual on this link. Giving the peer up fails the statements under way there, so
 * it needs more silence, and the most when the peer's host accepts connections (the process is slow, as a vanished host
 * accepts none) or when so many peers are silent that the fault is more likely here.
 *
 * All times are awake time of this process (see `awake-clock.ts`).
 */
import { tickIntervalMs } from './idle-pings.js'

/** Verdict on a peer. */
export type PeerState = 'trusted' | 'suspected' | 'gone'

/**
 * What a new connection to the peer's address shows: accepted, refused, or nothing yet. The operating system accepts
 * connections also while the process is too busy to reply.
 */
export type HostEvidence = 'none' | 'accepts' | 'refuses'

/** Evidence besides the messages of the link. */
export type OtherEvidence = {
  host: HostEvidence
  /** See `doubtsItself`. */
  isSelfDoubted: boolean
}

/** The verdict is checked at ticks, which are not exact. */
const tickToleranceMs = 10
/** Bounds of the time without an answer to a ping after which a peer is suspected. */
const suspicionMs = { min: 2 * tickIntervalMs - tickToleranceMs, max: 4 * tickIntervalMs - tickToleranceMs }
/** Least time without an answer to a ping after which a peer is given up. */
const minGiveUpMs = 3 * tickIntervalMs - tickToleranceMs
/** The same for a peer that has never answered, whose first answer also waits for the connection to be opened. */
const unknownPeerMs = { suspicion: minGiveUpMs, giveUp: minGiveUpMs + tickIntervalMs }
/** A peer is given up after this silence in any case, which the next tick finds within 1.5 s. */
const maxSilenceMs = 1250
/** Pending replies lead to a ping within this time (see `idle-pings.ts`); earlier waiting has another reason. */
const maxPingDelayMs = 2 * tickIntervalMs
/** Time without an answer to a ping that is given up at, in relation to the usual time. */
const giveUpFactor = 1.5
/** Weights of a new sample in the mean and the deviation of the ping times, as in TCP's retransmission timer. */
const meanGain = 1 / 8
const deviationGain = 1 / 4
const deviations = 4
const maxPingsInFlight = 64

/** State of one peer as its link sees it. */
export type PeerDetector = {
  /** A connection is being opened; silence counts from here. */
  opened: () => void
  requestSent: (nowMs: number) => void
  pingSent: (nowMs: number) => void
  received: (nowMs: number, isPong: boolean) => void
  state: (nowMs: number, evidence: OtherEvidence) => PeerState
  /** Time since the oldest message without any reply after it; 0 if there is none. */
  silentMs: (nowMs: number) => number
  /** Upper bound of the usual time until a ping is answered. */
  usualMs: () => number
}

/** Creates a detector; the usual ping time is kept when the link is reopened. */
export const createPeerDetector = (): PeerDetector => {
  let meanMs: number | undefined
  let deviationMs = 0
  /** Send times of the pings without an answer, oldest first; answers arrive in their order. */
  let pingsMs: number[] = []
  /** Send times of the first request and the first ping after the last reply. */
  let requestedMs: number | undefined
  let pingedMs: number | undefined

  const addSample = (sampleMs: number) => {
    const errorMs = sampleMs - (meanMs ?? sampleMs)
    deviationMs = meanMs === undefined ? sampleMs / 2 : deviationMs + deviationGain * (Math.abs(errorMs) - deviationMs)
    meanMs = (meanMs ?? sampleMs) + meanGain * errorMs
  }

  const usualMs = () => (meanMs ?? 0) + deviations * deviationMs

  /** Times without an answer to a ping after which the peer is suspected, and given up unless it may be slow. */
  const limitsMs = () => meanMs === undefined
    ? unknownPeerMs
    : {
        suspicion: Math.min(suspicionMs.max, Math.max(suspicionMs.min, usualMs())),
        giveUp: Math.max(minGiveUpMs, usualMs() * giveUpFactor)
      }

  const silentMs = (nowMs: number): number => {
    if (pingedMs === undefined) return 0
    return Math.max(0, nowMs - Math.max(requestedMs ?? pingedMs, pingedMs - maxPingDelayMs))
  }

  const state = (nowMs: number, { host, isSelfDoubted }: OtherEvidence): PeerState => {
    if (host === 'refuses') return 'gone'
    if (pingedMs === undefined) return 'trusted'
    const unansweredMs = nowMs - pingedMs
    const { suspicion, giveUp } = limitsMs()
    if (unansweredMs < suspicion) return 'trusted'
    if (silentMs(nowMs) >= maxSilenceMs) return 'gone'
    if (host === 'accepts' || isSelfDoubted) return 'suspected'
    return unansweredMs >= giveUp ? 'gone' : 'suspected'
  }

  return {
    opened: () => {
      pingsMs = []
      requestedMs = undefined
      pingedMs = undefined
    },
    requestSent: nowMs => { requestedMs ??= nowMs },
    pingSent: nowMs => {
      pingedMs ??= nowMs
      if (pingsMs.length < maxPingsInFlight) pingsMs.push(nowMs)
    },
    received: (nowMs, isPong) => {
      requestedMs = undefined
      pingedMs = undefined
      const sentMs = isPong ? pingsMs.shift() : undefined
      if (sentMs !== undefined) addSample(Math.max(0, nowMs - sentMs))
    },
    state,
    silentMs,
    usualMs
  }
}

/** Fewer silent peers are no sign of a fault here. */
const minSilentPeers = 3

/**
 * Whether the gateway suspects a fault of its own, because at least half of the peers that it expects to hear from are
 * silent.
 */
export const doubtsItself = ({ silent, heard }: { silent: number, heard: number }): boolean =>
  silent >= minSilentPeers && silent >= heard
