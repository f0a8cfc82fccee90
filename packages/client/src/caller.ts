/**
 * The caller library: sends statements and transactions to the entry VMs, and passes the session token of each answer
 * on to the next request.
 */
import { loopbackChannels } from '@egretyoke/protocol'
import type { ChannelSettings } from '@egretyoke/protocol'
import type { Done, Outcome } from './outcome.js'
import type { Request, RequestOptions } from './request.js'
import { createSessionTracker } from './session-state.js'
import type { SessionState } from './session-state.js'
import { executeStatement, streamStatement } from './statements.js'
import { runTransaction } from './transactions.js'
import type { Transaction, TransactionResult } from './transactions.js'
import { createVmSelector } from './vm-selector.js'

/** Default timeout of a request. */
export const defaultTimeoutMs = 5000

/** Options of a caller. */
export type CallerOptions = {
  /** HOST:PORT of the load balancer, or of several VMs. */
  addresses: string[]
  /** A key of the workspace; absent only for routes that are open to all. */
  key?: string
  /** TLS settings; by default plain text on loopback only. */
  channels?: ChannelSettings
  timeoutMs?: number
}

/** One session. It reads its own writes, whichever VM serves its requests. */
export type Session = {
  execute: (route: string, text: string | Buffer, options?: RequestOptions) => Promise<Outcome>
  /** Yields rows; throws an `OutcomeError` unless the answer is complete. */
  stream: (route: string, text: string | Buffer, options?: RequestOptions) => AsyncGenerator<Buffer, Done>
  transact: <T>(
    route: string,
    run: (transaction: Transaction) => Promise<T>,
    options?: RequestOptions
  ) => Promise<TransactionResult<T>>
  /** Returns the session's state, from which this or another caller can resume it with `session`. */
  state: () => SessionState
}

/** A connected caller. It is itself a session, for programs that need only one. */
export type Caller = Session & {
  /** Starts a new session, or resumes one from its state. */
  session: (state?: SessionState) => Session
  close: () => void
}

/** Connects a caller. Connections are opened immediately, and reopened when they are lost. */
export const connectCaller = (options: CallerOptions): Caller => {
  const { addresses, key, channels = loopbackChannels, timeoutMs = defaultTimeoutMs } = options
  if (addresses.length === 0) throw new Error('addresses is empty: at least one VM or balancer is needed')
  const vmSelector = createVmSelector(addresses, channels)

  const buildRequest = (route: string, requestOptions: RequestOptions = {}): Request => {
    const isWrite = requestOptions.access !== 'read'
    return {
      route,
      key,
      profile: requestOptions.profile,
      timeoutMs: requestOptions.timeoutMs ?? timeoutMs,
      isWrite,
      isRepeatable: !isWrite || requestOptions.isRepeatable === true
    }
  }

  const session = (state?: SessionState): Session => {
    const tracker = createSessionTracker(state)
    return {
      execute: (route, text, requestOptions) =>
        executeStatement(vmSelector, tracker, buildRequest(route, requestOptions), Buffer.from(text)),
      stream: (route, text, requestOptions) =>
        streamStatement(vmSelector, tracker, buildRequest(route, requestOptions), Buffer.from(text)),
      transact: (route, run, requestOptions) =>
        runTransaction(vmSelector, tracker, buildRequest(route, requestOptions), run),
      state: () => {
        const { token, isNew, isUnsettled } = tracker.current()
        return { token, isNew, isUnsettled }
      }
    }
  }

  return { ...session(), session, close: vmSelector.close }
}
