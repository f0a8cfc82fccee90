/**
 * Whether new work may go to a database that is leaving or whose data centre is out of service.
 */
import type { Database } from '../../state/configuration.js'
import type { FleetState } from '../../state/fleet-state.js'

/** A primary may be used for this long while its successor is made; no other database accepts writes. */
const handoverTimeMs = 3500

/** True while new work may go to the database. */
export const acceptsNewWork = (fleetState: FleetState, database: Database): boolean => {
  const isActivePrimary = fleetState.group(database.group)?.record.primary === database.id
  const evacuatedSinceMs = fleetState.evacuated().get(database.dataCentre)
  if (evacuatedSinceMs !== undefined) return isActivePrimary && performance.now() - evacuatedSinceMs < handoverTimeMs
  if (!database.draining) return true
  const drainingSinceMs = fleetState.drainingSinceMs(database.id) ?? -Infinity
  return isActivePrimary && performance.now() - drainingSinceMs < handoverTimeMs
}
