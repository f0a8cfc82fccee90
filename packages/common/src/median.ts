/**
 * The median of numbers.
 */

/** The middle value in order, or the mean of the two middle ones; `NaN` without values. */
export const medianOf = (values: readonly number[]): number => {
  const sorted = [...values].sort((one, other) => one - other)
  const middle = sorted.length >> 1
  return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2
}
