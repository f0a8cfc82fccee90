/**
 * Numbered events of `egretyoke-entry`; docs/EVENTS.md lists them.
 */
import { defineEvent } from '@egretyoke/common'

/** All events, by name. */
export const events = {
  started: defineEvent(1001, 'entryStarted',
    'The entry listens on its addresses.'),
  stateLearned: defineEvent(1002, 'stateLearned',
    'Newer records of the platform were applied; names the source.'),
  stateRefused: defineEvent(1003, 'stateRefused',
    'Newer records of the platform could not be applied; the VM will lose contact.'),
  contactGained: defineEvent(1004, 'contactGained',
    'The VM gained contact: its records are confirmed as current, and it serves requests.'),
  contactLost: defineEvent(1005, 'contactLost',
    'The VM lost contact: it may have missed a change and starts no new requests.'),
  superseded: defineEvent(1006, 'superseded',
    'A newer process with this VM\'s name is running; this process stops serving.'),
  hostPaused: defineEvent(1007, 'hostPaused',
    'The wall clock and the monotonic clock diverged, as after a pause of the host; loans and contact end.'),
  configInForce: defineEvent(1010, 'configInForce',
    'A configuration version became active on this VM.'),
  stopConfirming: defineEvent(1011, 'stopConfirming',
    'A steward requested it: writes of earlier terms of the group are no longer confirmed.'),
  routed: defineEvent(1020, 'routed',
    'An endpoint was chosen for a request; names the reason and the rejected endpoints.'),
  answerTooOld: defineEvent(1021, 'answerTooOld',
    'A replica\'s answer was too old and was discarded; the request is sent to the primary.'),
  retried: defineEvent(1022, 'retried',
    'A request is retried; names the reason and the delay.'),
  refused: defineEvent(1023, 'refused',
    'A request was refused and did not run.'),
  outcomeUnknown: defineEvent(1024, 'outcomeUnknown',
    'A request may or may not have taken effect.'),
  transactionEnded: defineEvent(1030, 'transactionEnded',
    'A transaction ended without a settled commit or rollback; the entry sends a rollback.'),
  endpointLost: defineEvent(1040, 'endpointLost',
    'An endpoint became unreachable.'),
  endpointBack: defineEvent(1041, 'endpointBack',
    'An endpoint became reachable.'),
  draining: defineEvent(1050, 'draining',
    'The entry is shutting down and waits for its open calls.'),
  drained: defineEvent(1051, 'drained',
    'The entry has no more open calls, or the drain timeout has passed.')
}
