/**
 * Availability of a database for new work while it is draining or its data centre is evacuated.
 */
import type { Database } from '../state/configuration.js'
import type { FleetView } from '../state/fleet-view.js'

/** Time for which a leaving primary still accepts work during the handover, because no other database takes writes. */
const handoverGraceMs = 3500

/** True while the database accepts new work. */
export const acceptsNewWork = (view: FleetView, database: Database): boolean => {
  const isActivePrimary = view.group(database.group)?.record.primary === database.id
  const evacuatedSinceMs = view.evacuated().get(database.dataCentre)
  if (evacuatedSinceMs !== undefined) return isActivePrimary && performance.now() - evacuatedSinceMs < handoverGraceMs
  if (!database.draining) return true
  const drainingSinceMs = view.drainingSince(database.id) ?? -Infinity
  return isActivePrimary && performance.now() - drainingSinceMs < handoverGraceMs
}
