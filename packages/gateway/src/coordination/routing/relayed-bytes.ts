/**
 * Limits the texts and session states of other gateways' statements that wait or run here. It answers many gateways
 * that forward long statements to one holder at once: each gateway's own callers are within bounds, their sum is not.
 */
import { Buffer } from 'node:buffer'
import type { ByteAccount } from '../../state/byte-account.js'
import { notRun } from '../sessions/statement.js'
import type { StatementOutcome, StatementRequest } from '../sessions/statement.js'

/** Fraction of the process's bytes for statements of other gateways; the rest is left to its own callers. */
const relayedFraction = 0.5
/** Fraction of these bytes for one workspace. */
const workspaceFraction = 0.5

type RunStatement = (request: StatementRequest) => Promise<StatementOutcome>

/** Bytes of a statement with its session state. */
const bytesOf = ({ text, shape, values }: StatementRequest): number => {
  let bytes = Buffer.byteLength(text) + Buffer.byteLength(shape)
  for (const { name, value } of values) bytes += Buffer.byteLength(name) + Buffer.byteLength(value)
  return bytes
}

/** Counts the statements that `run` gets; one that does not fit into the account is not run. */
export const limitRelayedBytes = (account: ByteAccount, run: RunStatement): RunStatement => {
  const maxBytes = account.maxBytes * relayedFraction
  const relayed = account.open('statements of other gateways', { maxBytes, isClosable: false })
  const workspaces = new Map<string, ByteAccount>()

  const accountOf = (workspace: string): ByteAccount => {
    const known = workspaces.get(workspace)
    if (known !== undefined) return known
    const added = relayed.open(workspace, { maxBytes: maxBytes * workspaceFraction })
    workspaces.set(workspace, added)
    return added
  }

  const release = (workspace: string, part: ByteAccount, bytes: number) => {
    part.release('relayed', bytes)
    if (part.heldBytes() > 0 || workspaces.get(workspace) !== part) return
    part.close()
    workspaces.delete(workspace)
  }

  return async request => {
    const { workspace } = request
    const part = accountOf(workspace)
    const bytes = bytesOf(request)
    if (!part.tryReserve('relayed', bytes)) return notRun('busy')
    try {
      return await run(request)
    } finally {
      release(workspace, part, bytes)
    }
  }
}
