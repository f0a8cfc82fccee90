/**
 * Positions in a database group's log, written TERM.NUMBER: ordered by term, then by number.
 */

/** More digits could not be compared exactly as numbers. */
const positionPattern = /^\d{1,15}\.\d{1,15}$/

/** True if the text is a position; an empty one, which stands for an unknown position, is none. */
export const isPosition = (text: string): boolean => positionPattern.test(text)

/** The term of a position; 0 when the position cannot be parsed. */
export const termOf = (position: string): number => Number(position.split('.')[0]) || 0

/** Negative, 0 or positive when `one` is before, equal to or after `other`. An empty position is before all others. */
export const comparePositions = (one: string, other: string): number => {
  const [oneTerm = 0, oneNumber = 0] = one.split('.').map(Number)
  const [otherTerm = 0, otherNumber = 0] = other.split('.').map(Number)
  return oneTerm - otherTerm || oneNumber - otherNumber
}

/** The later of two positions. */
export const laterPosition = (one: string, other: string): string => comparePositions(one, other) >= 0 ? one : other
