/**
 * Callers' keys: `ek_ID_SECRET`. Only the salted hash of the secret is stored. The secret has 256 random bits, so one
 * round of SHA-256 is sufficient; it is cheap enough to compute on each request.
 */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import type { StoredKey } from './documents.js'

const keyPattern = /^ek_([a-z0-9][a-z0-9-]{0,62})_([A-Za-z0-9-]{43})$/

/** Maximum length of a text that is parsed as a key, in characters. */
export const maxKeyLength = 128

/** Id and secret of a key. */
export type ParsedKey = { keyId: string, secret: string }

/** A new key: its text, which is shown only once, and the salted hash to store. */
export type CreatedKey = { text: string, keyId: string, stored: StoredKey }

const hashSecret = (secret: string, saltHex: string): Buffer =>
  createHash('sha256').update(Buffer.from(saltHex, 'hex')).update(secret).digest()

/** Parses a key's text. Returns undefined when it is malformed. */
export const parseKey = (text: string): ParsedKey | undefined => {
  if (text.length > maxKeyLength) return undefined
  const match = keyPattern.exec(text)
  if (!match) return undefined
  return { keyId: match[1], secret: match[2] }
}

/** Creates a key with a cryptographically secure random secret. */
export const createKey = (keyId: string): CreatedKey => {
  const secret = randomBytes(32).toString('base64url').replaceAll('_', '-')
  const saltHex = randomBytes(16).toString('hex')
  const stored: StoredKey = { saltHex, hashHex: hashSecret(secret, saltHex).toString('hex'), state: 'active' }
  return { text: `ek_${keyId}_${secret}`, keyId, stored }
}

/** Returns true when the secret matches the stored hash and the key is not withdrawn. Compares in constant time. */
export const isKeyValid = (key: ParsedKey, stored: StoredKey): boolean => {
  const matches = timingSafeEqual(hashSecret(key.secret, stored.saltHex), Buffer.from(stored.hashHex, 'hex'))
  return matches && stored.state === 'active'
}
