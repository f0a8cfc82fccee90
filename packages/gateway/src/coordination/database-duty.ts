/**
 * Availability of a database for new work while it is draining or its data centre is evacuated.
 */
import type { Database } from '../state/configuration.js'
import type { FleetView } from '../state/fleet-view.js'

/** Time for which a leaving primary still accepts work during the handover, because no other database takes writes. */
const handoverTimeMs = 3500

/** True while the database accepts new work. */
export const takesWork = (view: FleetView, database: Database): boolean => {
  const isInForce = view.group(database.group)?.record.primary === database.id
  const outSinceMs = view.evacuated().get(database.dataCentre)
  if (outSinceMs !== undefined) return isInForce && performance.now() - outSinceMs < handoverTimeMs
  if (!database.draining) return true
  const drainingSinceMs = view.drainingSince(database.id) ?? -Infinity
  return isInForce && performance.now() - drainingSinceMs < handoverTimeMs
}
