/**
 * Searches text for a caller's key in every encoding that the system uses for bytes.
 */

const base64Shifts = 3

/** Base64 of bytes at an offset within longer data, without the characters that depend on the adjacent bytes. */
const base64Inside = (bytes: Buffer, shift: number, encoding: 'base64' | 'base64url'): string => {
  const text = Buffer.concat([Buffer.alloc(shift), bytes]).toString(encoding).replaceAll('=', '')
  return text.slice(shift === 0 ? 0 : shift + 1, -1)
}

const encodingsOf = (text: string): string[] => {
  const bytes = Buffer.from(text)
  const shifted = Array.from({ length: base64Shifts }, (_, shift) => [
    base64Inside(bytes, shift, 'base64'), base64Inside(bytes, shift, 'base64url')])
  const asNumbers = [...bytes].join(',')
  const hex = bytes.toString('hex')
  return [text, encodeURIComponent(text), hex, hex.toUpperCase(), asNumbers, ...shifted.flat()]
}

/** Returns the encoded forms of the key, or of its secret part, that occur in the haystack. */
export const findKey = (key: string, haystack: string): string[] => {
  const secret = key.slice(key.lastIndexOf('_') + 1)
  return [...encodingsOf(key), ...encodingsOf(secret)].filter(needle => haystack.includes(needle))
}
