/**
 * Lowest term of each group whose writes this VM still confirms. Stewards raise it before they replace a primary.
 */

/** Maximum number of groups in the table. */
const maxGroups = 10_000

/** Lowest confirmable term, by group. */
export type ConfirmationStops = {
  /** Stops confirming writes of terms below the given one. Returns false if the table is full. */
  stop: (group: string, term: number) => boolean
  /** Lowest term whose writes may be confirmed; 0 if no steward has set one. */
  minConfirmableTerm: (group: string) => number
}

/**
 * Creates an empty table. It need not survive a restart, because a restarted VM loads the group records before it
 * serves.
 */
export const createConfirmationStops = (): ConfirmationStops => {
  const terms = new Map<string, number>()
  const minConfirmableTerm = (group: string) => terms.get(group) ?? 0
  const stop = (group: string, term: number) => {
    if (!terms.has(group) && terms.size >= maxGroups) return false
    terms.set(group, Math.max(term, minConfirmableTerm(group)))
    return true
  }
  return { stop, minConfirmableTerm }
}
