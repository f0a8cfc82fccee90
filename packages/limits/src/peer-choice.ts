/**
 * Selects the peers to request loans from, least recently requested first. Peers that lent nothing are in backoff.
 */
import type { Clock } from '@egretyoke/common'
import { backoffMs } from '@egretyoke/common'

/** Initial and maximum backoff after a peer lent nothing, in milliseconds. */
const firstPauseMs = 5
const longestPauseMs = 320

/** Minimum interval between two probes of an unreachable peer, in milliseconds. */
const probePauseMs = 150

/** Result of a loan request. */
export type AskOutcome = 'lent' | 'empty' | 'unreachable'

type PeerState = {
  isAsked: boolean
  isUnreachable: boolean
  lastAskedMs: number
  pausedUntilMs: number
  pauses: Iterator<number>
}

/** Selector among the peers that share one limit. */
export type PeerChoice = {
  /** Sets the peers in the order in which they receive their first requests. */
  setPeers: (peers: string[]) => void
  /** Up to `count` peers without a request in flight or backoff, least recently requested first. */
  choose: (count: number) => string[]
  isAsked: (peer: string) => boolean
  asked: (peer: string) => void
  answered: (peer: string, outcome: AskOutcome) => void
  /** Whether the peer did not reply to the latest request. */
  isUnreachable: (peer: string) => boolean
  /** Unreachable peers whose probe interval has passed. */
  toProbe: () => string[]
  /** End of the peer's backoff; -Infinity when it has none. */
  pausedUntilMs: (peer: string) => number
  /** Earliest time at which a peer can be selected; Infinity when there is none. */
  nextMs: () => number
}

/** Creates a selector without peers. */
export const createPeerChoice = (clock: Clock): PeerChoice => {
  const states = new Map<string, PeerState>()
  const freshPauses = () => backoffMs(firstPauseMs, longestPauseMs)

  const setPeers = (peers: string[]) => {
    for (const known of states.keys()) if (!peers.includes(known)) states.delete(known)
    for (const peer of peers) {
      if (states.has(peer)) continue
      states.set(peer, {
        isAsked: false,
        isUnreachable: false,
        lastAskedMs: -Infinity,
        pausedUntilMs: -Infinity,
        pauses: freshPauses()
      })
    }
  }

  const choose = (count: number) => [...states]
    .filter(([, state]) => !state.isAsked && !state.isUnreachable && state.pausedUntilMs <= clock())
    .sort(([, one], [, other]) => one.lastAskedMs < other.lastAskedMs ? -1 : 1)
    .slice(0, count)
    .map(([peer]) => peer)

  const asked = (peer: string) => {
    const state = states.get(peer)
    if (state === undefined) return
    state.isAsked = true
    state.lastAskedMs = clock()
  }

  const answered = (peer: string, outcome: AskOutcome) => {
    const state = states.get(peer)
    if (state === undefined) return
    state.isAsked = false
    state.isUnreachable = outcome === 'unreachable'
    if (outcome === 'lent') state.pauses = freshPauses()
    state.pausedUntilMs = outcome === 'lent' ? -Infinity : clock() + state.pauses.next().value
  }

  const isUnreachable = (peer: string) => states.get(peer)?.isUnreachable ?? true
  const toProbe = () => [...states]
    .filter(([, state]) => state.isUnreachable && !state.isAsked && clock() - state.lastAskedMs >= probePauseMs)
    .map(([peer]) => peer)
  const pausedUntilMs = (peer: string) => states.get(peer)?.pausedUntilMs ?? -Infinity
  const isAsked = (peer: string) => states.get(peer)?.isAsked ?? false

  const nextMs = () => Math.min(...[...states.values()]
    .filter(state => !state.isAsked && !state.isUnreachable)
    .map(({ pausedUntilMs }) => pausedUntilMs))

  return { setPeers, choose, isAsked, asked, answered, isUnreachable, toProbe, pausedUntilMs, nextMs }
}
