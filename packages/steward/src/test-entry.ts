/**
 * Test support: a minimal entry with the functions that stewards depend on. It follows the store, polls the endpoints,
 * serves the peer protocol, and confirms writes by the same rule as a real entry.
 */
import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js'
import { monotonicMs, sleepMs, ticks } from '@egretyoke/common'
import { decodeRecord, groupRecordSchema, storeKeys } from '@egretyoke/config'
import type { GroupRecord } from '@egretyoke/config'
import { connectMember, connectPlatform } from '@egretyoke/fleet'
import { connectGrpc, endpointProto, listenGrpc, loopbackChannels, peerProto } from '@egretyoke/protocol'
import type { EndpointMessages, PeerMessages } from '@egretyoke/protocol'

const pollMs = 50
const callTimeoutMs = 200

/** Options of a test entry. */
export type TestEntryOptions = {
  name: string
  platformAddress: string
  contactTtlMs: number
  /** Addresses by which this entry connects to the members, by member name. */
  memberAddresses: Record<string, string>
}

/** Fields of a write request to a member. */
export type TestWriteRequest = {
  statement: Buffer
  writes: true
  expectedTerm: number
  confirmation: 'PRIMARY' | 'MAJORITY'
  timeoutMs: number
}

/** A member's reply to a write. */
export type TestWriteResult = { verdict: string, term: number }

/** A running test entry. */
export type TestEntry = Awaited<ReturnType<typeof startTestEntry>>

/** Starts a test entry. */
export const startTestEntry = async (options: TestEntryOptions) => {
  const stopping = new AbortController()
  const platform = connectPlatform(options.platformAddress, loopbackChannels)
  const members = Object.entries(options.memberAddresses)
    .map(([name, address]) => ({ name, address, control: connectMember(address, loopbackChannels) }))
  const sightings = new Map<string, PeerMessages.EndpointSighting>()
  const lastReplyMs = new Map<string, number>()
  const records = new Map<string, GroupRecord>()
  const stoppedBelowTerms = new Map<string, number>()
  let knownRevision = 0
  let lastContactMs = -Infinity
  let isCutOff = false

  const poll = async () => {
    for await (const _ of ticks(pollMs, stopping.signal)) {
      const sentMs = monotonicMs()
      const changes = await platform.range(storeKeys.watchedPrefix, knownRevision, callTimeoutMs)
      if (!changes.ok || isCutOff) continue
      for (const entry of changes.val.entries) {
        const record = decodeRecord(entry.key, entry.value, groupRecordSchema)
        if (record.ok) records.set(entry.key.slice(storeKeys.groupPrefix.length), record.val)
      }
      knownRevision = changes.val.storeRevision
      lastContactMs = sentMs
    }
  }

  const pollMember = async ({ name, control }: typeof members[number]) => {
    lastReplyMs.set(name, monotonicMs())
    for await (const _ of ticks(pollMs, stopping.signal)) {
      const status = await control.getStatus(callTimeoutMs)
      if (status.ok) lastReplyMs.set(name, monotonicMs())
      const memberState = status.ok ? status.val : undefined
      sightings.set(name, {
        endpoint: name, reachable: status.ok, term: memberState?.term ?? 0, isPrimary: memberState?.isPrimary ?? false
      })
    }
  }

  const heartbeat = (_call: unknown, done: sendUnaryData<PeerMessages.HeartbeatMessage>) => {
    if (isCutOff) return
    const currentSightings = [...sightings.values()].map(sighting =>
      ({ ...sighting, ageMs: Math.round(monotonicMs() - lastReplyMs.get(sighting.endpoint!)!) }))
    done(null, { vm: options.name, knownRevision, sightings: currentSightings })
  }

  const stopConfirming = (
    call: ServerUnaryCall<PeerMessages.StopConfirmingRequest__Output, PeerMessages.StopConfirmingReply>,
    done: sendUnaryData<PeerMessages.StopConfirmingReply>
  ) => {
    if (isCutOff) return
    const { group, term } = call.request
    stoppedBelowTerms.set(group, Math.max(term, stoppedBelowTerms.get(group) ?? 0))
    done(null, { acknowledged: true, vm: options.name })
  }

  const canConfirm = (group: string, replyTerm: number): boolean => {
    const record = records.get(group)
    return record?.phase === 'active' && record.term === replyTerm &&
      replyTerm >= (stoppedBelowTerms.get(group) ?? 0) && monotonicMs() - lastContactMs < options.contactTtlMs
  }

  const execute = (address: string, group: string, request: TestWriteRequest) =>
    new Promise<TestWriteResult | undefined>(resolve => {
      const client = connectGrpc(endpointProto.Endpoint, address, loopbackChannels)
      const call = client.Connect({ deadline: Date.now() + 1_000 })
      const finish = (end?: TestWriteResult) => {
        resolve(end)
        call.cancel()
        client.close()
      }
      call.on('error', () => finish())
      call.on('data', (reply: EndpointMessages.Reply__Output) => {
        if (reply.requestId === 2 || reply.end?.verdict !== 'DONE') return finish(reply.end ?? undefined)
        call.write({ requestId: 2, generation: 1, execute: request })
      })
      call.write({ requestId: 1, generation: 1, open: { group } })
    })

  /** Writes to the primary in this entry's record of the group. Returns true only if the write may be confirmed. */
  const write = async (group: string, statement: string, confirmation: 'PRIMARY' | 'MAJORITY'): Promise<boolean> => {
    const record = records.get(group)
    const member = members.find(({ name }) => name === record?.primary)
    if (!record || !member || record.phase !== 'active') return false
    if (record.term < (stoppedBelowTerms.get(group) ?? 0)) return false
    const end = await execute(member.address, group, {
      statement: Buffer.from(statement), writes: true, expectedTerm: record.term, confirmation, timeoutMs: 500
    })
    return end?.verdict === 'DONE' && canConfirm(group, end.term)
  }

  const listener = await listenGrpc('127.0.0.1:0', { channels: loopbackChannels }, server => {
    const unimplemented = (_call: unknown, done: sendUnaryData<object>) => done({ code: 12 })
    server.addService(peerProto.Peer.service, {
      Heartbeat: heartbeat, StopConfirming: stopConfirming, FetchState: unimplemented, Borrow: unimplemented
    })
  })
  const running = [poll(), ...members.map(pollMember)]
  const close = async () => {
    stopping.abort()
    await Promise.race([Promise.all(running), sleepMs(callTimeoutMs)])
    await listener.close()
    for (const { control } of members) control.close()
    platform.close()
  }
  return {
    name: options.name,
    address: listener.address,
    write,
    execute,
    record: (group: string) => records.get(group),
    isCutOff: () => isCutOff,
    /** Cuts the entry off from the platform and from stewards, but not from members. */
    cutOff: (isCut: boolean) => {
      isCutOff = isCut
    },
    close
  }
}
