/**
 * Forwards the rows of one streamed answer to the caller. The first rows are checked for freshness; forwarding stops
 * when the caller's key is withdrawn or this VM loses contact.
 */
import type { EndpointRows, OnRows } from '@egretyoke/fleet'
import type { Outcome } from '../state/outcome.js'
import type { CheckResult } from './answer-check.js'

/** Forwards the rows of one answer, with its progress. */
export type RowForwarder = {
  onRows: OnRows
  /** Outcome if this VM stopped forwarding; undefined if it did not. */
  stopOutcome: () => Outcome | undefined
  isTooOld: () => boolean
  /** True if the caller did not accept the last rows. */
  isAbandoned: () => boolean
  /** True once rows have been sent to the caller, which cannot be undone. */
  hasSentRows: () => boolean
  /** Stops forwarding rows of this answer. */
  end: () => void
}

/** Dependencies of a row forwarder. */
export type RowForwarderOptions = {
  sendRows: ((rows: Buffer) => Promise<boolean>) | undefined
  check: (rows: EndpointRows) => Promise<CheckResult>
  /** Resolves to an outcome if no more rows may be sent to the caller, although its statement was admitted. */
  stopReason: () => Promise<Outcome | undefined>
}

/** Creates the forwarder of one answer. */
export const createRowForwarder = (options: RowForwarderOptions): RowForwarder => {
  let stopOutcome: Outcome | undefined
  let isTooOld = false
  let isAbandoned = false
  let hasSentRows = false
  let isOver = false

  const onRows: OnRows = async rows => {
    stopOutcome = await options.stopReason()
    isTooOld = !stopOutcome && !hasSentRows && await options.check(rows) !== 'good'
    if (stopOutcome || isTooOld || isOver || !options.sendRows) return false
    hasSentRows = true
    isAbandoned = !await options.sendRows(rows.rows)
    return !isAbandoned
  }

  return {
    onRows,
    stopOutcome: () => stopOutcome,
    isTooOld: () => isTooOld,
    isAbandoned: () => isAbandoned,
    hasSentRows: () => hasSentRows,
    end: () => { isOver = true }
  }
}
