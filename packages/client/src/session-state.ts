/**
 * State of a session: its token, and whether the outcome of a write is unknown.
 */
import { mergeTokens } from './session-token.js'
import type { Outcome } from './outcome.js'

/** A session's state. It can be stored, and resumed by another caller. */
export type SessionState = {
  /** Token of the answers so far; undefined when there is none. */
  token: Buffer | undefined
  /** True until the first answer with a token: the session has no confirmed write yet, so it needs no token. */
  isNew: boolean
  /** True when the outcome of a write is unknown. */
  isUnsettled: boolean
}

/** Session state at the time a request is sent; passed to `record` together with the request's outcome. */
export type SentState = SessionState & { unknownWrites: number }

/** Tracks the state of a session over its requests. */
export type SessionTracker = {
  current: () => SentState
  /** Updates the state from an answer's outcome and token; `token` is undefined when there was no answer. */
  record: (sentState: SentState, answer: { outcome: Outcome, token: Buffer | undefined, isWrite: boolean }) => void
}

/** State of a new session. */
export const newSessionState: SessionState = { token: undefined, isNew: true, isUnsettled: false }

/** Creates the tracker of a session. */
export const createSessionTracker = (initialState: SessionState = newSessionState): SessionTracker => {
  let { token, isNew, isUnsettled } = initialState
  let unknownWrites = 0

  const updateToken = (sentToken: Buffer | undefined, answerToken: Buffer) => {
    const wasSentWithCurrentToken = token === sentToken
    token = wasSentWithCurrentToken || !token ? answerToken : mergeTokens(token, answerToken)
    // When the merge fails there is no token, and the session safely reads from the primaries.
    isNew = false
  }

  return {
    current: () => ({ token, isNew, isUnsettled, unknownWrites }),
    record: (sentState, { outcome, token: answerToken, isWrite }) => {
      if (answerToken && answerToken.length > 0) updateToken(sentState.token, answerToken)
      if (outcome.kind === 'outcomeUnknown' && isWrite) {
        isUnsettled = true
        unknownWrites++
      }
      const mayClearUnsettled = outcome.kind === 'done' && !outcome.fromReplica && sentState.isUnsettled
      if (mayClearUnsettled && sentState.unknownWrites === unknownWrites) isUnsettled = false
    }
  }
}
