/**
 * Number of statements that a holder runs at once at a database that has just started, recovered or been promoted.
 *
 * Load pattern: a database comes back while the statements of all its callers wait. Its caches are cold and it applies
 * what it has missed, so that as many statements as it has slots make it slow or silent again. Its pace begins low,
 * grows while statements take as long as is usual for their class, and falls when they take longer or are declined.
 * Once it has stayed at the slots, or has not been slow for some time, it is no bound any more: variations of a
 * database in use change nothing.
 */
import { createAdaptiveLimit } from '@egretyoke/limits'
import type { FlightOutcome } from '@egretyoke/limits'

/** Why a database begins at a low pace. */
export type PaceCause = 'started' | 'noReply' | 'promoted' | 'declined'

/** A statement that runs. */
export type PacedStatement = {
  /** Ends the statement; `latencyMs` is the time that the database took, without the time to connect. */
  end: (outcome: FlightOutcome, latencyMs: number, statementClass: string) => void
}

/** Bounds the statements at one database. */
export type DatabasePace = {
  /** Number of statements that may run at once. */
  limit: () => number
  /** True unless the database has yet to show that it serves all its slots. */
  isSettled: () => boolean
  start: () => PacedStatement
  /** Begins at a low pace. */
  restart: (cause: PaceCause) => void
}

/** Dependencies of a pace. */
export type DatabasePaceOptions = {
  slots: () => number
  nowMs: () => number
  /** Called when a pace begins, and without a cause when it has become the slots. */
  onChange: (change: { cause: PaceCause | undefined, pace: number }) => void
}

/** First pace. One that did not reply gets a single statement, which shows whether it does now. */
const initialPace: Record<Exclude<PaceCause, 'declined'>, number> = { started: 2, promoted: 2, noReply: 1 }
/** Answers at full pace after which the database is settled, for each of its slots. */
const settlingAnswersPerSlot = 2
/** Time without a slow or declined statement after which a database is settled, also if few statements came. */
const settlingMs = 2000
/** Weight of a new sample in the usual time of a class. */
const usualWeight = 0.05
/** As above, of a statement that ran alone: the database may have become slower, but it is not overloaded. */
const aloneWeight = 0.3
/** Larger than the weight of the adaptive limit, because a pace of a few statements grows within a few answers. */
const latencyWeight = 0.3
/** Samples of a class before statements are compared with it: a single one says little about the others. */
const minSamples = 10
/** Number of classes with a usual time; the times of further ones are not compared. */
const maxClasses = 64

/** Creates a pace without bound. */
export const createDatabasePace = ({ slots, nowMs, onChange }: DatabasePaceOptions): DatabasePace => {
  const usualByClass = new Map<string, { ms: number, count: number }>()
  const usualMsOf = (statementClass: string) => {
    const usual = usualByClass.get(statementClass)
    return usual === undefined || usual.count < minSamples ? undefined : usual.ms
  }
  const adaptive = createAdaptiveLimit({
    initial: slots(), max: slots(), clock: nowMs, usualMs: usualMsOf, latencyWeight
  })
  let isBounded = false
  let answersAtFullPace = 0
  let lastTroubleMs = -Infinity
  /** Statements that were started before the last restart tell nothing about the pace after it. */
  let restarts = 0

  const limit = () => isBounded ? Math.min(adaptive.limit(), slots()) : slots()

  const bound = (cause: PaceCause, pace: number) => {
    const wasBounded = isBounded
    isBounded = true
    answersAtFullPace = 0
    lastTroubleMs = nowMs()
    restarts++
    adaptive.setMax(slots())
    adaptive.restart(pace)
    if (!wasBounded) onChange({ cause, pace: limit() })
  }

  const settleIfProven = () => {
    answersAtFullPace = limit() < slots() ? 0 : answersAtFullPace + 1
    const hasFilledSlots = answersAtFullPace >= settlingAnswersPerSlot * slots()
    if (!hasFilledSlots && nowMs() - lastTroubleMs < settlingMs) return
    isBounded = false
    onChange({ cause: undefined, pace: limit() })
  }

  const recordUsual = (latencyMs: number, statementClass: string, ranAlone: boolean) => {
    const usual = usualByClass.get(statementClass) ?? { ms: 0, count: 0 }
    if (usual.count === 0 && usualByClass.size >= maxClasses) return
    usualByClass.set(statementClass, usual)
    usual.count++
    // While the pace is found, a statement beside others may be slow because of them.
    const laterWeight = ranAlone ? aloneWeight : isBounded ? 0 : usualWeight
    usual.ms += (latencyMs - usual.ms) * (usual.count <= minSamples ? 1 / usual.count : laterWeight)
  }

  const start = (): PacedStatement => {
    const restartsBefore = restarts
    adaptive.acquire()
    const ranAlone = isBounded && adaptive.inFlight() === 1 && limit() === 1

    const end: PacedStatement['end'] = (outcome, latencyMs, statementClass) => {
      const isCurrent = restarts === restartsBefore
      if (outcome === 'answered' && isCurrent) recordUsual(latencyMs, statementClass, ranAlone)
      if (outcome === 'declined' && !isBounded) bound('declined', slots())
      else if (!isBounded || !isCurrent) return adaptive.release('ignored', 0)
      const paceBefore = adaptive.limit()
      adaptive.release(outcome, latencyMs, statementClass)
      if (adaptive.limit() < paceBefore) lastTroubleMs = nowMs()
      if (outcome === 'answered') settleIfProven()
    }
    return { end }
  }

  return {
    limit,
    isSettled: () => !isBounded,
    start,
    restart: cause => bound(cause, cause === 'declined' ? slots() : initialPace[cause])
  }
}
