/**
 * Selects the peers to request loans from, least recently requested first. Peers that lent nothing are in backoff.
 */
import type { Clock } from '@egretyoke/common'
import { backoffMs } from '@egretyoke/common'

/** Initial and maximum backoff after a peer lent nothing, in milliseconds. */
const initialBackoffMs = 5
const maxBackoffMs = 320

/** Minimum interval between two probes of an unreachable peer, in milliseconds. */
const probeIntervalMs = 150

/** Result of a loan request. */
export type RequestResult = 'lent' | 'empty' | 'unreachable'

type PeerState = {
  isPending: boolean
  isUnreachable: boolean
  lastRequestMs: number
  backoffUntilMs: number
  backoffs: Iterator<number>
}

/** Selector among the peers that share one limit. */
export type PeerSelector = {
  /** Sets the peers in the order in which they receive their first requests. */
  setPeers: (peers: string[]) => void
  /** Up to `count` peers without a request in flight or backoff, least recently requested first. */
  select: (count: number) => string[]
  isPending: (peer: string) => boolean
  recordRequest: (peer: string) => void
  recordResult: (peer: string, result: RequestResult) => void
  /** Whether the peer did not reply to the latest request. */
  isUnreachable: (peer: string) => boolean
  /** Unreachable peers whose probe interval has passed. */
  probeCandidates: () => string[]
  /** End of the peer's backoff; -Infinity when it has none. */
  backoffUntilMs: (peer: string) => number
  /** Earliest time at which a peer can be selected; Infinity when there is none. */
  nextAvailableMs: () => number
}

/** Creates a selector without peers. */
export const createPeerSelector = (clock: Clock): PeerSelector => {
  const states = new Map<string, PeerState>()
  const createBackoffs = () => backoffMs(initialBackoffMs, maxBackoffMs)

  const setPeers = (peers: string[]) => {
    for (const existing of states.keys()) if (!peers.includes(existing)) states.delete(existing)
    for (const peer of peers) {
      if (states.has(peer)) continue
      states.set(peer, {
        isPending: false,
        isUnreachable: false,
        lastRequestMs: -Infinity,
        backoffUntilMs: -Infinity,
        backoffs: createBackoffs()
      })
    }
  }

  const select = (count: number) => [...states]
    .filter(([, state]) => !state.isPending && !state.isUnreachable && state.backoffUntilMs <= clock())
    .sort(([, one], [, other]) => one.lastRequestMs < other.lastRequestMs ? -1 : 1)
    .slice(0, count)
    .map(([peer]) => peer)

  const recordRequest = (peer: string) => {
    const state = states.get(peer)
    if (state === undefined) return
    state.isPending = true
    state.lastRequestMs = clock()
  }

  const recordResult = (peer: string, result: RequestResult) => {
    const state = states.get(peer)
    if (state === undefined) return
    state.isPending = false
    state.isUnreachable = result === 'unreachable'
    if (result === 'lent') state.backoffs = createBackoffs()
    state.backoffUntilMs = result === 'lent' ? -Infinity : clock() + state.backoffs.next().value
  }

  const isUnreachable = (peer: string) => states.get(peer)?.isUnreachable ?? true
  const probeCandidates = () => [...states]
    .filter(([, state]) => state.isUnreachable && !state.isPending && clock() - state.lastRequestMs >= probeIntervalMs)
    .map(([peer]) => peer)
  const backoffUntilMs = (peer: string) => states.get(peer)?.backoffUntilMs ?? -Infinity
  const isPending = (peer: string) => states.get(peer)?.isPending ?? false

  const nextAvailableMs = () => Math.min(...[...states.values()]
    .filter(state => !state.isPending && !state.isUnreachable)
    .map(({ backoffUntilMs }) => backoffUntilMs))

  return {
    setPeers,
    select,
    isPending,
    recordRequest,
    recordResult,
    isUnreachable,
    probeCandidates,
    backoffUntilMs,
    nextAvailableMs
  }
}
