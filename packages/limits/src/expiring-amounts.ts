/**
 * Amounts that one VM borrows from another for a limited time, where a newer agreement replaces an older one.
 *
 * Lender and borrower both keep such a record of each other. The current amount is the largest unexpired one, so that
 * a lender counts the amount that the borrower may still be using although a reply was lost or late.
 */

/** An amount that expires at a time on this VM's monotonic clock. */
type ExpiringAmount = {
  amount: number
  untilMs: number
  /** Expiry on the wall clock, for borrowers whose monotonic clock may have stopped; Infinity for lenders. */
  wallUntilMs: number
}

/**
 * Maximum number of agreements with one VM. Beyond it, a lender merges the two oldest into one with the larger amount
 * and the later expiry, and a borrower drops the oldest.
 */
const maxAgreements = 8

/** The unexpired agreements with one VM. */
export type ExpiringAmounts = {
  add: (amount: number, untilMs: number, wallUntilMs?: number) => void
  /** Removes the agreements that have expired at the given times. */
  expire: (nowMs: number, wallNowMs: number) => void
  /** The largest unexpired amount. */
  current: () => number
  /** Expiry of the agreement that expires next; Infinity when there is none. */
  nextExpiryMs: () => number
  nextWallExpiryMs: () => number
  /** The largest amount that does not expire before the given times. */
  amountUntil: (untilMs: number, wallUntilMs: number) => number
  /** Expiry of the agreement with the largest amount; 0 when there is none. */
  largestExpiryMs: () => number
}

const covers = (one: ExpiringAmount, other: ExpiringAmount) =>
  one.amount >= other.amount && one.untilMs >= other.untilMs && one.wallUntilMs >= other.wallUntilMs

const merged = (one: ExpiringAmount, other: ExpiringAmount): ExpiringAmount => ({
  amount: Math.max(one.amount, other.amount),
  untilMs: Math.max(one.untilMs, other.untilMs),
  wallUntilMs: Math.max(one.wallUntilMs, other.wallUntilMs)
})

/** Creates an empty record. `mayMerge` is false for a borrower, which must not count more than it was lent. */
export const createExpiringAmounts = (mayMerge: boolean): ExpiringAmounts => {
  let agreements: ExpiringAmount[] = []

  const largest = () => agreements.reduce<ExpiringAmount | undefined>(
    (best, next) => best === undefined || next.amount > best.amount ? next : best, undefined)

  const add = (amount: number, untilMs: number, wallUntilMs = Infinity) => {
    const added = { amount, untilMs, wallUntilMs }
    if (agreements.some(existing => covers(existing, added))) return
    agreements = [...agreements.filter(existing => !covers(added, existing)), added]
    if (agreements.length <= maxAgreements) return
    const [first, second, ...rest] = agreements
    agreements = mayMerge ? [merged(first, second), ...rest] : [second, ...rest]
  }

  const expire = (nowMs: number, wallNowMs: number) => {
    agreements = agreements.filter(({ untilMs, wallUntilMs }) => untilMs > nowMs && wallUntilMs > wallNowMs)
  }

  const current = () => largest()?.amount ?? 0
  const nextExpiryMs = () => Math.min(...agreements.map(({ untilMs }) => untilMs))
  const nextWallExpiryMs = () => Math.min(...agreements.map(({ wallUntilMs }) => wallUntilMs))
  const largestExpiryMs = () => largest()?.untilMs ?? 0

  const amountUntil = (untilMs: number, wallUntilMs: number) => agreements
    .filter(agreement => agreement.untilMs >= untilMs && agreement.wallUntilMs >= wallUntilMs)
    .reduce((most, { amount }) => Math.max(most, amount), 0)

  return { add, expire, current, nextExpiryMs, nextWallExpiryMs, amountUntil, largestExpiryMs }
}
