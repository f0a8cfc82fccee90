/**
 * Turns of the callers' connections of a process.
 *
 * Load pattern: connections whose callers send many statements ahead that are answered at once, such as SET. Nothing
 * in the answers waits for the event loop, so that one connection after the other would be served to the end of what
 * has arrived, while timers, the store, other gateways and all other callers wait. A connection is served a few lines
 * at a time, and then waits until the event loop has gone on and those before it had their turns.
 */

/** What a connection is served in one turn. */
const maxLinesPerTurn = 4
const maxBytesPerTurn = 16 * 1024
/** Turns of waiting connections between two rounds of the event loop. */
const maxTurnsPerRound = 32

/** The turns of one connection. */
export type ConnectionTurns = {
  /**
   * Counts a line that was served, with its length in bytes. Returns a promise that resolves with the connection's next
   * turn; undefined if its turn goes on.
   */
  countLine: (bytes: number) => Promise<void> | undefined
}

/** The turns of all connections of a process. */
export type Turns = { open: () => ConnectionTurns }

/** Creates the turns; `defer` calls back in the next round of the event loop. */
export const createTurns = (defer: (callback: () => void) => void = setImmediate): Turns => {
  /** Begin the turns of the waiting connections, in the order in which they came. */
  const waiting: Array<() => void> = []
  let isDeferred = false

  const beginLater = () => {
    if (waiting.length === 0 || isDeferred) return
    isDeferred = true
    defer(beginTurns)
  }

  const beginTurns = () => {
    isDeferred = false
    for (const begin of waiting.splice(0, maxTurnsPerRound)) begin()
    beginLater()
  }

  const nextTurn = () => new Promise<void>(resolve => {
    waiting.push(resolve)
    beginLater()
  })

  const open = (): ConnectionTurns => {
    let servedLines = 0
    let servedBytes = 0
    return {
      countLine: bytes => {
        servedLines++
        servedBytes += bytes
        if (servedLines < maxLinesPerTurn && servedBytes < maxBytesPerTurn) return undefined
        servedLines = 0
        servedBytes = 0
        return nextTurn()
      }
    }
  }

  return { open }
}
