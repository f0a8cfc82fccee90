/**
 * Reasons between gateways of this and of earlier versions.
 */
import test from 'ava'
import { notRun, outcomeIn, replyOf } from './statement.js'
import type { StatementReason } from './statement.js'

// Guards against a sender of an earlier version that gives a statement up at a reason that it does not know.
test('a gateway of an earlier version reads each precise reason as moved, and a new one reads it as it is', t => {
  for (const reason of ['moved', 'noContact', 'notPrimary', 'closed'] as StatementReason[]) {
    const reply = replyOf(notRun(reason))
    t.is(reply.reason, 'moved')
    t.is(outcomeIn(reply).reason, reason)
  }
})

test('other reasons, and moved of an earlier version, are read as they are', t => {
  for (const reason of ['busy', 'lagging', 'silent', ''] as StatementReason[]) {
    t.is(outcomeIn(replyOf(notRun(reason))).reason, reason)
  }
  t.is(outcomeIn({ ...notRun('moved'), movedReason: '' }).reason, 'moved')
  t.is(outcomeIn({ ...notRun('moved'), movedReason: 'unheard of' }).reason, 'moved')
  t.is(outcomeIn({ ...notRun('busy'), movedReason: 'noContact' }).reason, 'busy')
})
