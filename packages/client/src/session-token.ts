/**
 * Merges session tokens of concurrent requests.
 */
import { decodeSessionToken, encodeSessionToken, maxTokenGroups } from '@egretyoke/protocol'
import type { SessionToken, TokenPlace } from '@egretyoke/protocol'

const isPast = (place: TokenPlace, other: TokenPlace): boolean =>
  place.term > other.term || (place.term === other.term && place.position > other.position)

/** The later position; undefined when one token lacks the group and is incomplete, so that it may lack a write. */
const mergedPlace = (group: string, left: SessionToken, right: SessionToken): TokenPlace | undefined => {
  const [inLeft, inRight] = [left.groups[group], right.groups[group]]
  if (inLeft && inRight) return isPast(inLeft, inRight) ? inLeft : inRight
  const isKnownByOther = inLeft ? right.complete : left.complete
  return isKnownByOther ? inLeft ?? inRight : undefined
}

/** Merges two tokens into one that covers both. Undefined when one of them cannot be decoded. */
export const mergeTokens = (left: Buffer, right: Buffer): Buffer | undefined => {
  const [leftToken, rightToken] = [decodeSessionToken(left), decodeSessionToken(right)]
  if (!leftToken || !rightToken) return undefined
  const names = [...new Set([...Object.keys(leftToken.groups), ...Object.keys(rightToken.groups)])]
  const places = names.flatMap(name => {
    const place = mergedPlace(name, leftToken, rightToken)
    return place ? [[name, place] as const] : []
  })
  return encodeSessionToken({
    complete: leftToken.complete && rightToken.complete && places.length <= maxTokenGroups,
    groups: Object.fromEntries(places.slice(0, maxTokenGroups))
  })
}
