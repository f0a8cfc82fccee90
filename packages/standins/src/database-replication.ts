/**
 * Replication between members: replicas pull the log from the primary as a stream and report their received position.
 */
import type { ServerDuplexStream } from '@grpc/grpc-js'
import { sleepMs, ticks } from '@egretyoke/common'
import { connectGrpc, endpointProto } from '@egretyoke/protocol'
import type { ChannelSettings, EndpointMessages } from '@egretyoke/protocol'
import type { DatabaseMember, Upstream } from './database-member.js'

type Progress = EndpointMessages.ReplicaProgress__Output
type Batch = EndpointMessages.LogBatch__Output

const maxBatchEntries = 500
const reconnectDelayMs = 50
const applyIntervalMs = 5
/** Interval at which the primary sends a batch on an idle stream, so that a replica can detect a frozen link. */
const keepAliveIntervalMs = 500
/** Time without a batch after which a replica cancels the stream and reconnects. */
const streamTimeoutMs = 2_000

/** Streams the log to one replica. The stream ends when this member is no longer the primary of the term. */
export const serveReplica = (
  member: DatabaseMember,
  call: ServerDuplexStream<Progress, EndpointMessages.LogBatch>
): void => {
  const servedTerm = member.term()
  let sentPosition: number | undefined

  const sendFrom = (position: number, truncateAfter: number) => {
    const entries = member.log.entriesAfter(position, maxBatchEntries)
    sentPosition = position + entries.length
    call.write({ term: servedTerm, truncateAfter, entries, lineage: member.state().lineage })
  }
  const sendNew = () => {
    if (sentPosition === undefined) return
    while (sentPosition < member.log.receivedPosition()) sendFrom(sentPosition, -1)
  }
  const endIfNotPrimary = () => {
    if (member.term() !== servedTerm || !member.canWrite()) finish()
  }
  const unsubscribeAppend = member.onAppend(sendNew)
  const unsubscribeRole = member.onRoleChange(endIfNotPrimary)
  const keepAlive = setInterval(() => sentPosition !== undefined && sendFrom(sentPosition, -1), keepAliveIntervalMs)
  const finish = () => {
    clearInterval(keepAlive)
    unsubscribeAppend()
    unsubscribeRole()
    call.end()
  }

  call.on('data', (progress: Progress) => {
    if (progress.term !== servedTerm) return finish()
    if (sentPosition !== undefined) return member.recordReplica(progress.name, progress.term, progress.receivedPosition)
    const truncateAfter = member.findTruncationPosition(progress.receivedPosition, progress.lastEntryTerm)
    sendFrom(truncateAfter, truncateAfter)
    sendNew()
  })
  call.on('end', finish)
  call.on('cancelled', finish)
  call.on('error', finish)
  endIfNotPrimary()
}

/** Pulls from one primary; returns when the stream ends, stays silent for too long, or the member's role changes. */
const pullOnce = async (
  member: DatabaseMember,
  upstream: Upstream,
  channels: ChannelSettings,
  isStopped: () => boolean
): Promise<void> => {
  const client = connectGrpc(endpointProto.Member, upstream.address, channels)
  const call = client.Replicate()
  const report = () => {
    const state = member.state()
    call.write({
      name: state.name,
      term: state.term,
      receivedPosition: state.receivedPosition,
      lastEntryTerm: state.lastEntryTerm
    })
  }
  const unsubscribeRole = member.onRoleChange(() => call.cancel())
  let silenceTimer = setTimeout(() => call.cancel(), streamTimeoutMs)
  try {
    report()
    for await (const batch of call) {
      clearTimeout(silenceTimer)
      silenceTimer = setTimeout(() => call.cancel(), streamTimeoutMs)
      if (isStopped() || !member.appendBatch(batch as Batch)) break
      report()
    }
  } catch {
    // The stream failed; the caller reconnects after a delay.
  } finally {
    clearTimeout(silenceTimer)
    unsubscribeRole()
    call.cancel()
    client.close()
  }
}

/** Keeps pulling from the primary that the member currently follows, until the signal aborts. */
export const followPrimary = async (
  member: DatabaseMember,
  channels: ChannelSettings,
  isStopped: () => boolean,
  signal: AbortSignal
): Promise<void> => {
  while (!signal.aborted) {
    if (member.canFollow() && !isStopped()) await pullOnce(member, member.upstream(), channels, isStopped)
    await sleepMs(reconnectDelayMs, signal)
  }
}

/** Applies received entries once the configured replication lag has passed, until the signal aborts. */
export const applyContinuously = async (member: DatabaseMember, signal: AbortSignal): Promise<void> => {
  for await (const _ of ticks(applyIntervalMs, signal)) member.applyDueEntries()
}
