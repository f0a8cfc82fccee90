/**
 * Bounds retries to a fraction of the requests, so that retries do not multiply the load of an overloaded endpoint.
 */

/** Retries that each request adds to the budget. */
const defaultRetriesPerRequest = 0.1

/** Initial and maximum number of available retries. */
const defaultReserve = 10

/** Options of a retry budget. */
export type RetryBudgetOptions = {
  retriesPerRequest?: number
  /** Maximum number of available retries; the budget starts with it. */
  reserve?: number
}

/** A budget of retries that grows with the number of requests. */
export type RetryBudget = {
  /** Records the first attempt of a request. */
  recordRequest: () => void
  /** Consumes one retry; false when the budget is exhausted. */
  tryRetry: () => boolean
}

/** Creates a budget filled with its reserve. */
export const createRetryBudget = (options: RetryBudgetOptions = {}): RetryBudget => {
  const { retriesPerRequest = defaultRetriesPerRequest, reserve = defaultReserve } = options
  let retries = reserve

  const recordRequest = () => {
    retries = Math.min(reserve, retries + retriesPerRequest)
  }

  const tryRetry = () => {
    if (retries < 1) return false
    retries -= 1
    return true
  }

  return { recordRequest, tryRetry }
}
