/**
 * Replies to the gateways that follow the store through this one: changes, and the age of this gateway's confirmation.
 */
import type { RelayMessages } from '@egretyoke/protocol'
import type { Contact } from '../../state/contact.js'
import type { StoreHistory } from '../../state/store-history.js'
import { epochOf } from '../../state/store-revision.js'

/** A follower that is behind by more takes the whole state, in parts of at most this size. */
const maxReplyBytes = 1024 * 1024
/** How long a request waits here beyond that for a call to the store that may renew the confirmation. */
const renewalWaitMs = 300

/** Dependencies of the replies. */
export type FollowerRepliesOptions = {
  history: StoreHistory
  contact: Contact
  /** False while this gateway receives its confirmations from another one. */
  isDirect?: () => boolean
  /** False while the store has refused or not answered this gateway, and is not called. */
  isStoreDue?: () => boolean
}

/** A request; the fields that an earlier version does not send are optional. */
export type FollowRequest = Pick<RelayMessages.FollowStore__Output, 'afterRevision' | 'waitMs'> &
  Partial<RelayMessages.FollowStore__Output>

/** Time for which the request may wait for a change or a confirmation that is of use to the follower. */
const usefulWaitMs = (
  { contact, isStoreDue = () => true }: FollowerRepliesOptions, { waitMs, maxAgeMs = 0 }: FollowRequest
): number => {
  if (maxAgeMs === 0) return waitMs
  const remainingMs = Math.max(0, maxAgeMs - contact.ageMs())
  return Math.min(waitMs, remainingMs + (isStoreDue() ? renewalWaitMs : 0))
}

const incomplete: RelayMessages.StoreNews = {
  complete: false,
  changes: [],
  revision: 0,
  confirmed: false,
  ageMs: 0,
  waitedMs: 0,
  indirect: false,
  wholeState: false,
  stateContinuesAfter: ''
}

/** Replies to a gateway that follows the store through this one, as soon as there are changes or a confirmation. */
export const replyToFollower = async (
  options: FollowerRepliesOptions, request: FollowRequest
): Promise<RelayMessages.StoreNews> => {
  const { history, contact, isDirect = () => true } = options
  const { afterRevision, acceptsState = false, stateAfter = '', combinesEpochs = false } = request
  const receivedAtMs = performance.now()
  // An earlier version reads the store itself: it would take combined revisions for those of the store.
  if (epochOf(history.revision()) > 0 && !combinesEpochs) return incomplete
  if (stateAfter === '' && history.changesSince(afterRevision)?.entries.length === 0) {
    await history.waitForChange(usefulWaitMs(options, request))
  }
  const changes = stateAfter === '' ? history.changesSince(afterRevision) : undefined
  const bytes = changes?.entries.reduce((sum, { key, value }) => sum + key.length + value.length, 0) ?? 0
  const complete = changes !== undefined && bytes <= maxReplyBytes
  const part = complete || !acceptsState ? undefined : history.statePart(stateAfter, maxReplyBytes)
  const ageMs = contact.ageMs()
  const confirmed = Number.isFinite(ageMs)
  return {
    complete,
    changes: complete ? changes.entries : part?.entries ?? [],
    revision: changes?.revision ?? part?.revision ?? 0,
    confirmed,
    ageMs: confirmed ? Math.ceil(ageMs) : 0,
    waitedMs: Math.floor(performance.now() - receivedAtMs),
    indirect: !isDirect(),
    wholeState: part !== undefined,
    stateContinuesAfter: part?.continuesAfter ?? ''
  }
}
