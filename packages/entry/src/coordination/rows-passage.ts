/**
 * Forwards the rows of one streamed answer to the caller. The first rows are checked for freshness; forwarding stops
 * when the caller's key is withdrawn or this VM loses contact.
 */
import type { EndpointRows, OnRows } from '@egretyoke/fleet'
import type { Outcome } from '../state/outcome.js'
import type { CheckResult } from './answer-check.js'

/** Forwards the rows of one answer, with its progress. */
export type RowsPassage = {
  onRows: OnRows
  /** Outcome if this VM stopped forwarding; undefined if it did not. */
  stopped: () => Outcome | undefined
  isTooOld: () => boolean
  /** True if the caller did not accept the last rows. */
  isGivenUp: () => boolean
  /** True once rows have been sent to the caller, which cannot be undone. */
  hasSentRows: () => boolean
  /** Stops forwarding rows of this answer. */
  end: () => void
}

/** Dependencies of a row forwarder. */
export type RowsPassageOptions = {
  sendRows: ((rows: Buffer) => Promise<boolean>) | undefined
  check: (rows: EndpointRows) => Promise<CheckResult>
  /** Resolves to an outcome if no more rows may be sent to the caller, although its statement was admitted. */
  reasonToStop: () => Promise<Outcome | undefined>
}

/** Creates the forwarder of one answer. */
export const createRowsPassage = (options: RowsPassageOptions): RowsPassage => {
  let stopped: Outcome | undefined
  let isTooOld = false
  let isGivenUp = false
  let hasSentRows = false
  let isOver = false

  const onRows: OnRows = async rows => {
    stopped = await options.reasonToStop()
    isTooOld = !stopped && !hasSentRows && await options.check(rows) !== 'good'
    if (stopped || isTooOld || isOver || !options.sendRows) return false
    hasSentRows = true
    isGivenUp = !await options.sendRows(rows.rows)
    return !isGivenUp
  }

  return {
    onRows,
    stopped: () => stopped,
    isTooOld: () => isTooOld,
    isGivenUp: () => isGivenUp,
    hasSentRows: () => hasSentRows,
    end: () => { isOver = true }
  }
}
