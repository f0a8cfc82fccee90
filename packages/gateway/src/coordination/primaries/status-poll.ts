/**
 * Status requests to several databases of a group at once. Those that do not answer in time are left out.
 */
import type { Database } from '../../state/configuration.js'
import type { ControlCommands } from '../connections/control-commands.js'
import type { Candidate } from './primary-evidence.js'

/** Status of one database; undefined if it does not answer. */
export const statusOf = async (
  control: Pick<ControlCommands, 'run'>, database: Database, timeoutMs: number
): Promise<Candidate | undefined> => {
  const status = await control.run(database, { kind: 'status' }, timeoutMs)
  return status.ok ? { database, status: status.val } : undefined
}

/** Status of all databases that answer, each within its own time-out. */
export const pollDatabases = async (
  control: Pick<ControlCommands, 'run'>, databases: readonly Database[], timeoutMsOf: (database: Database) => number
): Promise<Candidate[]> => {
  const candidates = await Promise.all(databases.map(async database =>
    await statusOf(control, database, timeoutMsOf(database))))
  return candidates.flatMap(candidate => candidate ?? [])
}
