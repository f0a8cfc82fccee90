/**
 * Session variables and prepared statements of one caller's session. A session keeps them until it ends, and every
 * statement that it sends to another gateway carries them, so their sizes are limited before they are acknowledged.
 * Names and texts are copies: one that is cut from a caller's message would keep all of it in memory, which no limit
 * counts.
 */
import { Buffer } from 'node:buffer'
import { Err, Ok, typedError } from '@egretyoke/common'
import type { Result, TypedError } from '@egretyoke/common'
import type { ByteAccount } from '../../state/byte-account.js'
import { detachedText } from '../../state/detached-text.js'
import type { PreparedStatement } from '../connections/prepared-statements.js'

const maxValues = 64
const maxPrepared = 256
/**
 * Largest entry, as the bytes of its name and text. The gateway sends it to a database in a line of at most 1 MiB that
 * also holds the command's words and, for a prepared statement, another name than the caller's.
 */
export const maxEntryBytes = 1024 * 1024 - 64
/** Largest state of a session. With a statement of 1 MiB it fits into one message between gateways. */
export const maxStateBytes = 2 * 1024 * 1024
/** Counted for each entry besides its name and text, for its encoding and its place in memory. */
const entryOverheadBytes = 64
/** State that each session may have whatever the others have. */
const reservedBytes = 8 * 1024
/** State that all sessions of a process may have together beyond what is reserved for each. */
export const maxSharedStateBytes = 32 * 1024 * 1024

/** State of a session beyond the reserved one, which all sessions of a process share. */
export type StateBudget = {
  /** Replaces the part that a session holds; false if the budget is used up, in which case nothing changes. */
  tryReplace: (heldBytes: number, wantedBytes: number) => boolean
}

/** Creates the budget of a session from its part of the account of bytes. */
export const createStateBudget = (account: ByteAccount): StateBudget => ({
  tryReplace: (heldBytes, wantedBytes) => {
    if (wantedBytes > heldBytes) return account.tryReserve('sessionState', wantedBytes - heldBytes)
    account.release('sessionState', heldBytes - wantedBytes)
    return true
  }
})

/** Why an entry is not kept. */
export type StateRefusal = TypedError<'tooLarge' | 'tooMany' | 'tooMuch' | 'budgetUsedUp'>

/** State of a session. An entry that is refused leaves the state as it was. */
export type SessionState = {
  set: (name: string, value: string) => Result<void, StateRefusal>
  prepare: (name: string, statement: PreparedStatement) => Result<void, StateRefusal>
  deallocate: (name: string) => void
  values: () => Array<{ name: string, value: string }>
  prepared: (name: string) => PreparedStatement | undefined
  /** Forgets the state. */
  close: () => void
}

const refusalMessages: Record<StateRefusal['reason'], string> = {
  tooLarge: 'too large',
  tooMany: 'too many in this session',
  tooMuch: 'the state of this session would be too large',
  budgetUsedUp: 'the state of all sessions is too large'
}

const refusal = (reason: StateRefusal['reason']) => Err(typedError(reason, refusalMessages[reason]))

const entryBytes = (name: string, text: string) => Buffer.byteLength(name) + Buffer.byteLength(text)

/** Creates the state of a new session: none. */
export const createSessionState = (budget: StateBudget): SessionState => {
  const values = new Map<string, string>()
  const prepared = new Map<string, PreparedStatement>()
  let stateBytes = 0

  const sharedPart = (bytes: number) => Math.max(0, bytes - reservedBytes)

  const resize = (bytes: number): boolean => {
    if (!budget.tryReplace(sharedPart(stateBytes), sharedPart(bytes))) return false
    stateBytes = bytes
    return true
  }

  /** Counts an entry in place of an earlier one of the same name. */
  const admit = (entry: { bytes: number, formerBytes: number, isOneTooMany: boolean }): Result<void, StateRefusal> => {
    const { bytes, formerBytes, isOneTooMany } = entry
    if (bytes > maxEntryBytes) return refusal('tooLarge')
    if (isOneTooMany) return refusal('tooMany')
    const nextBytes = stateBytes - formerBytes + bytes + entryOverheadBytes
    if (nextBytes > maxStateBytes) return refusal('tooMuch')
    return resize(nextBytes) ? Ok(undefined) : refusal('budgetUsedUp')
  }

  const countedBytes = (name: string, text: string | undefined) =>
    text === undefined ? 0 : entryBytes(name, text) + entryOverheadBytes

  return {
    set: (name, value) => {
      const admitted = admit({
        bytes: entryBytes(name, value),
        formerBytes: countedBytes(name, values.get(name)),
        isOneTooMany: !values.has(name) && values.size >= maxValues
      })
      if (admitted.ok) values.set(detachedText(name), detachedText(value))
      return admitted
    },
    prepare: (name, statement) => {
      const admitted = admit({
        bytes: entryBytes(name, statement.shape),
        formerBytes: countedBytes(name, prepared.get(name)?.shape),
        isOneTooMany: !prepared.has(name) && prepared.size >= maxPrepared
      })
      if (admitted.ok) prepared.set(detachedText(name), { ...statement, shape: detachedText(statement.shape) })
      return admitted
    },
    deallocate: name => {
      resize(stateBytes - countedBytes(name, prepared.get(name)?.shape))
      prepared.delete(name)
    },
    values: () => [...values].map(([name, value]) => ({ name, value })),
    prepared: name => prepared.get(name),
    close: () => {
      values.clear()
      prepared.clear()
      resize(0)
    }
  }
}
