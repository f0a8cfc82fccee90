/**
 * Open-loop arrivals: Poisson processes from seeded random numbers. Arrival times do not depend on responses.
 */
import { createRandom } from '@egretyoke/common'
import type { Random } from '@egretyoke/common'

/** Load of one workspace. Times are in milliseconds since the start of the run. */
export type LoadStream = {
  workspace: string
  ratePerSec: number
  fromMs: number
  toMs: number
  /** Relative weight of each route; the weights need not add up to 1. */
  mix: Record<string, number>
  /** Service time of each statement, during which it occupies a slot of its database; default: the database's own. */
  costMs?: number
  /** Indexes of the VMs that receive the requests; default: all ready VMs. */
  vms?: number[]
  /** Requests use the group's clock key (see `clockKey`) instead of the keys of their sessions. */
  isClock?: boolean
}

/** Intended start of one request. */
export type Arrival = { atMs: number, stream: LoadStream }

const nextIntervalMs = (random: Random, ratePerSec: number): number =>
  -Math.log(1 - random.fraction()) * 1_000 / ratePerSec

/** Yields the arrivals of one stream in order of time. */
export function * poissonArrivals (stream: LoadStream, seed: number): Generator<Arrival> {
  if (stream.ratePerSec <= 0) return
  const random = createRandom(seed)
  let atMs = stream.fromMs + nextIntervalMs(random, stream.ratePerSec)
  while (atMs < stream.toMs) {
    yield { atMs, stream }
    atMs += nextIntervalMs(random, stream.ratePerSec)
  }
}

/** Yields the arrivals of several streams, merged in order of time. */
export function * mergedArrivals (streams: LoadStream[], seed: number): Generator<Arrival> {
  const sources = streams.map((stream, index) => poissonArrivals(stream, seed * 1_000 + index))
  const heads = sources.map(source => source.next().value as Arrival | undefined)
  for (;;) {
    let first = -1
    for (let index = 0; index < heads.length; index++) {
      const head = heads[index]
      if (head && (first < 0 || head.atMs < heads[first]!.atMs)) first = index
    }
    if (first < 0) return
    yield heads[first]!
    heads[first] = sources[first].next().value as Arrival | undefined
  }
}
