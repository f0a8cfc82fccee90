/**
 * Whether new work may go to a database that is leaving or whose data centre is out.
 */
import type { Database } from '../state/configuration.js'
import type { FleetView } from '../state/fleet-view.js'

/** A primary may be used for this long while its successor is made; writes would have nowhere else to go. */
const handoverTimeMs = 3500

/** True while new work may go to the database. */
export const takesWork = (view: FleetView, database: Database): boolean => {
  const isInForce = view.group(database.group)?.record.primary === database.id
  const outSinceMs = view.evacuated().get(database.dataCentre)
  if (outSinceMs !== undefined) return isInForce && performance.now() - outSinceMs < handoverTimeMs
  if (!database.draining) return true
  const drainingSinceMs = view.drainingSince(database.id) ?? -Infinity
  return isInForce && performance.now() - drainingSinceMs < handoverTimeMs
}
