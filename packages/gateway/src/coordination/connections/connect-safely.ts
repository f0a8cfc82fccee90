/**
 * Guards the rest of the gateway against an adapter that throws instead of returning why a connection failed.
 */
import { Err, messageOf, typedError } from '@egretyoke/common'
import type { ConnectDatabase } from './database-connection.js'

/** Makes an exception of the adapter a failed attempt, so that it affects no other database. */
export const connectSafely = (connect: ConnectDatabase): ConnectDatabase => async (target, timeoutMs) => {
  try {
    return await connect(target, timeoutMs)
  } catch (thrown) {
    return Err(typedError('unreachable', messageOf(thrown), { address: target.address }))
  }
}
