/**
 * Statements and reasons between gateways of this and of earlier versions.
 */
import test from 'ava'
import { relayProto } from '@egretyoke/protocol'
import type { RelayMessages } from '@egretyoke/protocol'
import { writeRequest } from '../../testing/holder-environment.js'
import { notRun, outcomeIn, replyOf, requestIn, runMessageOf } from './statement.js'
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

const { requestSerialize, requestDeserialize } = relayProto.Relay.service.Exchange

/** The message as another gateway decodes it. */
const sent = (run: RelayMessages.RunStatement): RelayMessages.RunStatement__Output =>
  requestDeserialize(requestSerialize({ number: 1, run })).run!

const readWithin = (maxStalenessMs: number | undefined, needsPrimary = false) =>
  writeRequest({ access: 'READ', needsPrimary, maxStalenessMs })

test('each staleness bound, and that there is none, reaches another gateway as it is', t => {
  for (const maxStalenessMs of [undefined, 0, 0.4, 1, 1500, 2 ** 32, 2 ** 40]) {
    t.is(requestIn(sent(runMessageOf(readWithin(maxStalenessMs)))).maxStalenessMs, maxStalenessMs)
  }
})

// Guards against a replica that reads without a bound for a gateway of this version.
test('a gateway of an earlier version gets 0, which it takes for no bound, only where there is none', t => {
  const earlier = (maxStalenessMs: number | undefined, needsPrimary = false) =>
    sent(runMessageOf(readWithin(maxStalenessMs, needsPrimary))).earlierMaxStalenessMs
  t.deepEqual([0, 0.4, 1, 1500, 2 ** 32].map(maxMs => earlier(maxMs)), [1, 1, 1, 1500, 2 ** 32 - 1])
  t.is(earlier(undefined), 0)
  // At the primary, where every read sees all commits, it tells reads that only the primary can run by it.
  t.is(earlier(0, true), 0)
})

// Guards against a replica that reads without a bound for a gateway of an earlier version.
test('0 from a gateway of an earlier version is a bound, and one that cannot be used is the strictest', t => {
  const message = { ...runMessageOf(readWithin(undefined)), staleness: null }
  t.is(requestIn(sent({ ...message, earlierMaxStalenessMs: 0 })).maxStalenessMs, 0)
  t.is(requestIn(sent({ ...message, earlierMaxStalenessMs: 1500 })).maxStalenessMs, 1500)
  for (const maxMs of [-1, NaN]) t.is(requestIn(sent({ ...message, staleness: { maxMs } })).maxStalenessMs, 0)
})
