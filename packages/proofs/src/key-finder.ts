/**
 * Searches text for a caller's key in every encoding that the system uses for bytes.
 */

const base64Alignments = 3

/** Base64 of bytes at an offset within longer data, without the characters that depend on the adjacent bytes. */
const embeddedBase64 = (bytes: Buffer, offset: number, encoding: 'base64' | 'base64url'): string => {
  const text = Buffer.concat([Buffer.alloc(offset), bytes]).toString(encoding).replaceAll('=', '')
  return text.slice(offset === 0 ? 0 : offset + 1, -1)
}

const encodingsOf = (text: string): string[] => {
  const bytes = Buffer.from(text)
  const embedded = Array.from({ length: base64Alignments }, (_, offset) => [
    embeddedBase64(bytes, offset, 'base64'), embeddedBase64(bytes, offset, 'base64url')])
  const decimalBytes = [...bytes].join(',')
  const hex = bytes.toString('hex')
  return [text, encodeURIComponent(text), hex, hex.toUpperCase(), decimalBytes, ...embedded.flat()]
}

/** Returns the encoded forms of the key, or of its secret part, that occur in the haystack. */
export const findKey = (key: string, haystack: string): string[] => {
  const secret = key.slice(key.lastIndexOf('_') + 1)
  return [...encodingsOf(key), ...encodingsOf(secret)].filter(needle => haystack.includes(needle))
}
