/**
 * State of a session: its token, and whether the outcome of a write is unknown.
 */
import { mergeTokens } from './session-token.js'
import type { Outcome } from './outcome.js'

/** A session's state. It can be stored, and resumed by another caller. */
export type SessionState = {
  /** Token of the answers so far; undefined when there is none. */
  token: Buffer | undefined
  /** True until the first answer with a token: the session needs no token because it has written nothing. */
  isNew: boolean
  /** True when the outcome of a write is unknown. */
  isUnsettled: boolean
}

/** Session state with which a request is sent; `learn` takes it back with the request's outcome. */
export type SentState = SessionState & { unknownWrites: number }

/** Tracks the state of a session over its requests. */
export type SessionMemory = {
  current: () => SentState
  /** Updates the state from an answer's outcome and token; `token` is undefined when there was no answer. */
  learn: (sent: SentState, answer: { outcome: Outcome, token: Buffer | undefined, isWrite: boolean }) => void
}

/** State of a new session. */
export const newSessionState: SessionState = { token: undefined, isNew: true, isUnsettled: false }

/** Creates the tracker of a session. */
export const createSessionMemory = (start: SessionState = newSessionState): SessionMemory => {
  let { token, isNew, isUnsettled } = start
  let unknownWrites = 0

  const learnToken = (sentToken: Buffer | undefined, answered: Buffer) => {
    const isAnswerToCurrent = token === sentToken
    token = isAnswerToCurrent || !token ? answered : mergeTokens(token, answered)
    // When the merge fails there is no token, and the session safely reads from the primaries.
    isNew = false
  }

  return {
    current: () => ({ token, isNew, isUnsettled, unknownWrites }),
    learn: (sent, { outcome, token: answered, isWrite }) => {
      if (answered && answered.length > 0) learnToken(sent.token, answered)
      if (outcome.kind === 'outcomeUnknown' && isWrite) {
        isUnsettled = true
        unknownWrites++
      }
      const settles = outcome.kind === 'done' && !outcome.fromReplica && sent.isUnsettled
      if (settles && sent.unknownWrites === unknownWrites) isUnsettled = false
    }
  }
}
