/**
 * Parsers of command line values, shared by the programs of this package.
 */
import { InvalidArgumentError } from 'commander'

const minSeconds = 4
const maxSeconds = 3_600
const maxSeed = 2 ** 31 - 1

/** Parses the length of a run in seconds. Throws when it is out of range. */
export const parseSeconds = (text: string): number => {
  const seconds = Number(text)
  if (seconds >= minSeconds && seconds <= maxSeconds) return seconds
  throw new InvalidArgumentError(`a number from ${minSeconds} to ${maxSeconds}`)
}

/** Parses the seed of the random numbers. Throws when it is not an integer in range. */
export const parseSeed = (text: string): number => {
  const seed = Number(text)
  if (Number.isInteger(seed) && seed >= 0 && seed <= maxSeed) return seed
  throw new InvalidArgumentError(`an integer from 0 to ${maxSeed}`)
}

/** Parses a finite number above 0; throws otherwise. */
export const parsePositive = (text: string): number => {
  const value = Number(text)
  if (value > 0 && Number.isFinite(value)) return value
  throw new InvalidArgumentError('a number above 0')
}
