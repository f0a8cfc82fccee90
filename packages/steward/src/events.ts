/**
 * Numbered log events of the steward.
 */
import { defineEvent } from '@egretyoke/common'
import type { EventDefinition } from '@egretyoke/common'

/** Event definitions by name. */
export const events = {
  started: defineEvent(2000, 'started',
    'The steward has started; the line has the port of its health server.'),
  closed: defineEvent(2001, 'closed',
    'The steward has released its leases and stopped.'),
  leaseTaken: defineEvent(2002, 'leaseTaken',
    'This steward acquired the lease of a group or of the roster and is now active for it.'),
  leaseLost: defineEvent(2003, 'leaseLost',
    'The lease has expired or another steward holds it.'),
  groupCreated: defineEvent(2010, 'groupCreated',
    'A group had no record; the record of its first term was stored.'),
  primarySuspected: defineEvent(2011, 'primarySuspected',
    'The primary does not reply to the steward or is not the primary of the current term.'),
  primaryKept: defineEvent(2012, 'primaryKept',
    'The suspected primary is not replaced; the line gives the reason.'),
  promotionBegun: defineEvent(2013, 'promotionBegun',
    'A promotion attempt started; the line gives its cause and term.'),
  promotionStep: defineEvent(2014, 'promotionStep',
    'A step of a promotion was completed.'),
  candidateChosen: defineEvent(2015, 'candidateChosen',
    'The member to promote was chosen; the line also lists the other members with their log positions.'),
  promotionDone: defineEvent(2016, 'promotionDone',
    'The promotion is complete and the new term is active.'),
  promotionFailed: defineEvent(2017, 'promotionFailed',
    'The promotion attempt failed; the next attempt starts a new term.'),
  memberRepaired: defineEvent(2018, 'memberRepaired',
    'A member that followed another primary or term was redirected to the current primary.'),
  handoverPlanned: defineEvent(2019, 'handoverPlanned',
    'A planned handover of the primary starts; the line lists the possible successors.'),
  handoverDelayed: defineEvent(2020, 'handoverDelayed',
    'The primary is to be handed over, but no successor has caught up yet.'),
  rosterChanged: defineEvent(2030, 'rosterChanged',
    'The roster was created, or changed by one VM.'),
  rosterWaits: defineEvent(2031, 'rosterWaits',
    'The next roster change waits until a majority of the roster has received the previous one.'),
  leavingChanged: defineEvent(2032, 'leavingChanged',
    'The stored list of leaving VMs was updated.'),
  sharesSuspended: defineEvent(2033, 'sharesSuspended',
    'The set of suspended VMs changed; the line lists the suspended VMs and those whose suspension was lifted.'),
  recordDamaged: defineEvent(2040, 'recordDamaged',
    'A stored record does not match its schema and is ignored.')
} satisfies Record<string, EventDefinition>
