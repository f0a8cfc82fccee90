/**
 * Merges session tokens of concurrent requests.
 */
import { decodeSessionToken, encodeSessionToken, maxTokenGroups } from '@egretyoke/protocol'
import type { SessionToken, TokenPosition } from '@egretyoke/protocol'

const isLater = (position: TokenPosition, other: TokenPosition): boolean =>
  position.term > other.term || (position.term === other.term && position.position > other.position)

/** The later position. Undefined when one token lacks the group and is incomplete, so it may lack a later write. */
const mergePositions = (group: string, left: SessionToken, right: SessionToken): TokenPosition | undefined => {
  const [leftPosition, rightPosition] = [left.groups[group], right.groups[group]]
  if (leftPosition && rightPosition) return isLater(leftPosition, rightPosition) ? leftPosition : rightPosition
  const isOtherComplete = leftPosition ? right.complete : left.complete
  return isOtherComplete ? leftPosition ?? rightPosition : undefined
}

/** Merges two tokens into one that covers both. Undefined when one of them cannot be decoded. */
export const mergeTokens = (left: Buffer, right: Buffer): Buffer | undefined => {
  const [leftToken, rightToken] = [decodeSessionToken(left), decodeSessionToken(right)]
  if (!leftToken || !rightToken) return undefined
  const names = [...new Set([...Object.keys(leftToken.groups), ...Object.keys(rightToken.groups)])]
  const positions = names.flatMap(name => {
    const position = mergePositions(name, leftToken, rightToken)
    return position ? [[name, position] as const] : []
  })
  return encodeSessionToken({
    complete: leftToken.complete && rightToken.complete && positions.length <= maxTokenGroups,
    groups: Object.fromEntries(positions.slice(0, maxTokenGroups))
  })
}
