/**
 * Session tokens, which a caller copies from each answer to its next request. They are not signed, because a forged
 * token can only slow down the reads of its own session; a checksum detects damage.
 */
import { crc32 } from 'node:zlib'
import { z } from 'zod'

/** Longest accepted token, in bytes. */
export const maxTokenBytes = 8 * 1024

/** Maximum number of groups in a token. */
export const maxTokenGroups = 64

const tokenVersion = 1
const checksumBytes = 4

const positionSchema = z.strictObject({ term: z.number().int().min(0), position: z.number().int().min(0) })

const tokenSchema = z.strictObject({
  v: z.literal(tokenVersion),
  /** True when the session has written to no groups other than those listed. */
  complete: z.boolean(),
  /** Log position that the session's reads must include, by group. */
  groups: z.record(z.string().max(63), positionSchema)
    .refine(groups => Object.keys(groups).length <= maxTokenGroups, `at most ${maxTokenGroups} groups`)
})

/** Position in a group's log. */
export type TokenPosition = z.infer<typeof positionSchema>

/** Decoded content of a token. */
export type SessionToken = Omit<z.infer<typeof tokenSchema>, 'v'>

const checksum = (body: Buffer): Buffer => {
  const bytes = Buffer.alloc(checksumBytes)
  bytes.writeUInt32BE(crc32(body))
  return bytes
}

/** Encodes a token. */
export const encodeSessionToken = ({ complete, groups }: SessionToken): Buffer => {
  const body = Buffer.from(JSON.stringify({ v: tokenVersion, complete, groups }))
  return Buffer.concat([checksum(body), body])
}

/** Decodes a token; undefined when it is damaged, too long, or of another version. */
export const decodeSessionToken = (bytes: Buffer): SessionToken | undefined => {
  if (bytes.length > maxTokenBytes || bytes.length < checksumBytes) return undefined
  const body = bytes.subarray(checksumBytes)
  if (!checksum(body).equals(bytes.subarray(0, checksumBytes))) return undefined
  try {
    const token = tokenSchema.safeParse(JSON.parse(body.toString('utf8')))
    return token.success ? token.data : undefined
  } catch {
    return undefined
  }
}
