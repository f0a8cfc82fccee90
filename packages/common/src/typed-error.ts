/**
 * Common error type: a machine-readable reason code, a human-readable message, and metadata.
 */

/** An expected error. The values of `reason` are stable and documented with the types that narrow it. */
export type TypedError<Reason extends string = string> = {
  reason: Reason
  message: string
  metadata: Record<string, string | number | boolean>
}

/** Builds a typed error. */
export const typedError = <Reason extends string>(
  reason: Reason,
  message: string,
  metadata: TypedError['metadata'] = {}
): TypedError<Reason> => ({ reason, message, metadata })

/** Returns the message of a thrown value of any type. */
export const messageOf = (thrown: unknown): string => thrown instanceof Error ? thrown.message : String(thrown)
