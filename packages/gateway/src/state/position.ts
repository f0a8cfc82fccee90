/**
 * Positions in a database group's log, written TERM.NUMBER. A later term is later than any number of an earlier one.
 */

/** The term of a position; 0 when it cannot be read. */
export const termOf = (position: string): number => Number(position.split('.')[0]) || 0

/** Negative, 0 or positive as the first position lies before, at or after the second. An empty position is first. */
export const comparePositions = (one: string, other: string): number => {
  const [oneTerm = 0, oneNumber = 0] = one.split('.').map(Number)
  const [otherTerm = 0, otherNumber = 0] = other.split('.').map(Number)
  return oneTerm - otherTerm || oneNumber - otherNumber
}

/** The later of two positions. */
export const laterPosition = (one: string, other: string): string => comparePositions(one, other) >= 0 ? one : other
