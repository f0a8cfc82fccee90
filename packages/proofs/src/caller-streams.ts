/**
 * A caller's statements, streams and interactive transactions over the published protocol, without a client library,
 * so that tests see the unprocessed answers.
 */
import { once } from 'node:events'
import { Metadata } from '@grpc/grpc-js'
import { callerProto, connectGrpc, loopbackChannels } from '@egretyoke/protocol'
import type { CallerMessages } from '@egretyoke/protocol'

type Answer = CallerMessages.Answer__Output

/** Metadata fields of a call; undefined fields are not sent. */
export type CallerFields = {
  route?: string
  key?: string
  profile?: string
  timeoutMs?: number
  token?: Buffer
  isNewSession?: boolean
  hasUnsettledWrite?: boolean
}

/** A gRPC client of one VM. */
export type RawCaller = ReturnType<typeof connectRawCaller>

/** Creates a client for a VM's caller address. */
export const connectRawCaller = (address: string) => connectGrpc(callerProto.Caller, address, loopbackChannels)

/** Encodes the fields as gRPC metadata. */
export const callerMetadata = (fields: CallerFields): Metadata => {
  const metadata = new Metadata()
  const set = (name: string, value: string | Buffer | undefined) => {
    if (value !== undefined) metadata.set(`egretyoke-${name}`, value)
  }
  set('route', fields.route)
  set('key', fields.key)
  set('profile', fields.profile)
  set('timeout-ms', fields.timeoutMs === undefined ? undefined : String(fields.timeoutMs))
  set('session-bin', fields.token)
  set('new-session', fields.isNewSession ? '1' : undefined)
  set('unsettled-write', fields.hasUnsettledWrite ? '1' : undefined)
  return metadata
}

/** Returns the kind and the reason code of an answer; the kind is `lost` without an answer. */
export const outcomeOf = (answer: Answer | null | undefined): { kind: string, reason: string } => ({
  kind: answer?.outcome ?? 'lost',
  reason: (answer?.notRun ?? answer?.outcomeUnknown ?? answer?.failed)?.reason ?? ''
})

/** Runs one statement; resolves to undefined when no answer arrives. */
export const executeRaw = (
  client: RawCaller,
  fields: CallerFields,
  statement: string | Buffer
): Promise<Answer | undefined> => new Promise(resolve => {
  client.Execute({ text: Buffer.from(statement) }, callerMetadata(fields), (_error, answer) => resolve(answer))
})

/** Rows of a streamed answer and its end message; `end` is undefined when the stream broke before it. */
export type StreamedAnswer = { rows: string[], end: Answer | undefined }

/** Reads a stream to its end; calls `onChunk` after each chunk and waits for it before reading on. */
export const streamRaw = async (
  client: RawCaller,
  fields: CallerFields,
  statement: string,
  onChunk: () => Promise<void> | void = () => {}
): Promise<StreamedAnswer> => {
  const call = client.Stream({ text: Buffer.from(statement) }, callerMetadata(fields))
  const rows: string[] = []
  let end: Answer | undefined
  try {
    for await (const part of call) {
      const message = part as CallerMessages.StreamPart__Output
      if (message.end) end = message.end
      if (!message.chunk) continue
      rows.push(...message.chunk.toString('utf8').split('\n').filter(line => line !== ''))
      await onChunk()
    }
  } catch {
    // A broken stream has no end message.
  }
  return { rows, end }
}

/** An interactive transaction that the test drives step by step. */
export type RawTransaction = ReturnType<typeof openRawTransaction>

/** Opens the stream of a transaction without sending a step. Steps resolve to undefined once the stream has ended. */
export const openRawTransaction = (client: RawCaller, fields: CallerFields) => {
  const call = client.Transact(callerMetadata(fields))
  const pendingSteps: Array<(answer: Answer | undefined) => void> = []
  let lastStepId = 0
  let hasEnded = false

  const end = () => {
    hasEnded = true
    for (const settle of pendingSteps.splice(0)) settle(undefined)
  }
  call.on('data', (message: CallerMessages.TransactionAnswer__Output) =>
    pendingSteps.shift()?.(message.answer ?? undefined))
  call.on('error', end)
  call.on('end', end)

  const step = (action: Omit<CallerMessages.TransactionStep, 'stepId'>): Promise<Answer | undefined> =>
    new Promise(resolve => {
      if (hasEnded) return resolve(undefined)
      pendingSteps.push(resolve)
      call.write({ stepId: ++lastStepId, ...action })
    })

  return {
    begin: () => step({ begin: {} }),
    execute: (statement: string) => step({ execute: { text: Buffer.from(statement) } }),
    commit: () => step({ commit: {} }),
    rollback: () => step({ rollback: {} }),
    send: step,
    /** Cancels the call, as when the caller process dies. */
    cancel: () => call.cancel(),
    end: () => call.end(),
    hasEnded: () => hasEnded,
    waitForEnd: async () => {
      if (!hasEnded) await Promise.race([once(call, 'end'), once(call, 'error')]).catch(() => {})
    }
  }
}
