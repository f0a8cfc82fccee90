/**
 * Sends statements to the holders of databases, which are this gateway or others.
 */
import { isPosition } from '../../state/position.js'
import { processName } from '../../state/stored-records.js'
import type { Member } from '../../state/stored-records.js'
import type { GatewayLocation } from './holder-choice.js'
import type { RelayCalls, RelayReply } from './relay-calls.js'
import { isRead, notRun, opensTransaction, outcomeIn, runMessageOf, unknownOutcome } from '../sessions/statement.js'
import type { StatementOutcome, StatementRequest } from '../sessions/statement.js'
import type { UsageCounter } from '../usage/usage-counter.js'

/** Database and holder of an open transaction. */
export type TransactionLocation = { database: string, holder: Member }

/** Calls to holders. */
export type HolderCalls = {
  run: (holder: Member, request: StatementRequest) => Promise<StatementOutcome>
  /** Rolls back a transaction that its session no longer needs. */
  abandon: (transactionId: string, location: TransactionLocation) => void
}

/** Dependencies of the calls. */
export type HolderCallsOptions = {
  self: GatewayLocation
  relay: Pick<RelayCalls, 'call'>
  /** Runs a statement on a connection of this gateway. */
  runLocally: (request: StatementRequest) => Promise<StatementOutcome>
  abandonLocally: (database: string, transactionId: string) => void
  /** Absent where no usage is reported. */
  usage?: Pick<UsageCounter, 'countSent'> | undefined
}

/** Added to a forwarded statement's time-out, for the round trip to the holder. */
const relayAllowanceMs = 150

/** False for a position that cannot be compared: with it, a session could miss its own write. The reply is unusable. */
const hasUsablePosition = ({ statement }: RelayReply): boolean => {
  const position = statement?.position ?? ''
  return position === '' || isPosition(position)
}

/** Creates the calls of one gateway. */
export const createHolderCalls = (
  { self, relay, runLocally, abandonLocally, usage }: HolderCallsOptions
): HolderCalls => {
  const abandon = (transactionId: string, { database, holder }: TransactionLocation) => {
    if (holder.name === self.name) return abandonLocally(database, transactionId)
    relay.call(holder, { abandon: { database, transactionId } }, relayAllowanceMs)
  }

  const run = async (holder: Member, request: StatementRequest): Promise<StatementOutcome> => {
    if (holder.name === self.name) return await runLocally(request)
    const forwardedAtMs = performance.now()
    const reply = await relay.call(holder, { run: runMessageOf(request) }, request.timeoutMs + relayAllowanceMs)
    if (reply.ok && hasUsablePosition(reply.val)) {
      const outcome = reply.val.statement ? outcomeIn(reply.val.statement) : notRun('moved')
      usage?.countSent(processName(holder), request, outcome, forwardedAtMs)
      return outcome
    }
    if (reply.err && reply.val.reason === 'tooLarge') return notRun('tooLarge')
    if (reply.err && reply.val.reason === 'unsent') return notRun('holderSilent')
    if (request.transaction !== 'SINGLE' && request.verb !== 'COMMIT') {
      // Only this router knows where a first statement was sent.
      if (opensTransaction(request)) abandon(request.transactionId, { database: request.database, holder })
      return notRun('answerLost')
    }
    return isRead(request) ? notRun('holderSilent') : unknownOutcome('holderSilent')
  }

  return { run, abandon }
}
