/**
 * Seeded random numbers, so that runs can be reproduced.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A seeded random number generator. */
export type Random = {
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  fraction: () => number
  /** Returns an integer between both bounds, inclusive. */
  integer: (from: number, to: number) => number
  /** Returns true with the given probability. */
  chance: (probability: number) => boolean
  pick: <T>(items: readonly T[]) => T
}

/** Creates a generator; equal seeds give equal sequences. */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed)
  const fraction = () => uniformFloat64(generator)
  const integer = (from: number, to: number) => uniformInt(generator, from, to)
  return {
    fraction,
    integer,
    chance: probability => probability > 0 && fraction() < probability,
    pick: items => items[integer(0, items.length - 1)]
  }
}
