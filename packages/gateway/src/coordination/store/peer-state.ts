/**
 * Reads the whole state of the store from a peer, in parts. Each part is a reply of its own, so that the messages of
 * other requests on the link are not delayed.
 */
import type { RelayMessages } from '@egretyoke/protocol'
import type { RelayCalls } from '../routing/relay-calls.js'
import type { Member } from '../../state/stored-records.js'

/** Time-out of the request for a part after the first one. */
const partTimeoutMs = 600
/** More than the state that a gateway keeps for its followers can have. */
const maxParts = 64

/**
 * Entries of the whole state whose first part is given; undefined if a later part is not answered, or is older than the
 * first one, as after a restart of the peer: the changes up to the first part's revision are not requested again.
 */
export const readPeerState = async (
  relay: Pick<RelayCalls, 'call'>, peer: Member, first: RelayMessages.StoreNews__Output
): Promise<RelayMessages.StoreChange__Output[] | undefined> => {
  const entries = [...first.changes]
  let { stateContinuesAfter } = first
  for (let part = 1; stateContinuesAfter !== ''; part++) {
    const followStore = {
      afterRevision: first.revision,
      waitMs: 0,
      acceptsState: true,
      stateAfter: stateContinuesAfter,
      combinesEpochs: true
    }
    const reply = await relay.call(peer, { followStore }, partTimeoutMs)
    const news = reply.ok ? reply.val.storeNews : undefined
    if (!news?.wholeState || news.revision < first.revision || part >= maxParts) return undefined
    entries.push(...news.changes)
    stateContinuesAfter = news.stateContinuesAfter
  }
  return entries
}
