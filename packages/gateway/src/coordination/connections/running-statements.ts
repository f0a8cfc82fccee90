/**
 * The statements that run at one database: how many by workspace, and how long each is expected to occupy its slot.
 */
import type { StatementRequest } from '../sessions/statement.js'

/** Statements that run at one database. */
export type RunningStatements = {
  /** Adds a statement; the returned function removes it, and returns how long it ran. */
  start: (request: Pick<StatementRequest, 'workspace'>, estimatedMs: number) => () => number
  count: () => number
  /** Number of statements of the workspace. */
  countOf: (workspace: string) => number
  /**
   * Service times of all statements: as estimated, or as long as they have run if that is more, so that a database that
   * has become slow is noticed before its first reply.
   */
  serviceTimesMs: () => number[]
}

type Running = { workspace: string, estimatedMs: number, startedAtMs: number }

/** Creates an empty set. */
export const createRunningStatements = (nowMs: () => number): RunningStatements => {
  const all = new Set<Running>()

  const start: RunningStatements['start'] = ({ workspace }, estimatedMs) => {
    const running = { workspace, estimatedMs, startedAtMs: nowMs() }
    all.add(running)
    return () => {
      all.delete(running)
      return nowMs() - running.startedAtMs
    }
  }

  return {
    start,
    count: () => all.size,
    countOf: workspace => [...all].filter(running => running.workspace === workspace).length,
    serviceTimesMs: () => [...all].map(({ estimatedMs, startedAtMs }) => Math.max(estimatedMs, nowMs() - startedAtMs))
  }
}
