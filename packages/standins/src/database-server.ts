/**
 * gRPC server of one group member: implements the published endpoint protocol, with faults that tests can set.
 */
import type { sendUnaryData, ServerDuplexStream, ServerUnaryCall, ServerWritableStream } from '@grpc/grpc-js'
import { createRandom, sleepMs } from '@egretyoke/common'
import { endpointProto, listenGrpc, standinProto } from '@egretyoke/protocol'
import type { ChannelSettings, EndpointMessages, GrpcListener, StandinMessages } from '@egretyoke/protocol'
import { serveConnection } from './database-connection.js'
import type { ConnectionContext } from './database-connection.js'
import { createDatabaseMember } from './database-member.js'
import type { ControlResult, MemberOptions } from './database-member.js'
import { applyContinuously, followPrimary, serveReplica } from './database-replication.js'
import { createSlots } from './slots.js'

type Fault = StandinMessages.DatabaseFault__Output
type Request = EndpointMessages.Request__Output
type ConnectionStream = ServerDuplexStream<Request, EndpointMessages.Reply>

const noFault: Fault = {
  replicationLagMs: 0,
  loseAnswers: 0,
  decline: 0,
  delayMs: 0,
  doubleReplies: 0,
  reorderReplies: 0,
  cutStreams: 0,
  stopReplication: false
}

const maxRecordedBytes = 64 * 1024 * 1024
const logReadBatchSize = 1_000

/** Options of the stand-in; `seed` is for the random faults. */
export type StandinDatabaseOptions = MemberOptions & {
  address: string
  channels: ChannelSettings
  seed: number
  slots: number
  maxWaiting: number
  maxConnections: number
  connectMs: number
  serviceMs: number
  replicationLagMs: number
  /** Records all metadata and requests received, for the test that checks that no caller's key reaches a database. */
  record: boolean
}

/** Starts the stand-in of one group member; resolves when it listens. */
export const startStandinDatabase = async (options: StandinDatabaseOptions): Promise<GrpcListener> => {
  const member = createDatabaseMember(options)
  member.setReplicationLag(options.replicationLagMs)
  const slots = createSlots(options.slots, options.maxWaiting)
  const stopping = new AbortController()
  const recorded: Buffer[] = []
  let recordedBytes = 0
  let fault: Fault = { ...noFault, replicationLagMs: options.replicationLagMs }
  let statements = 0
  let declined = 0
  let openConnections = 0

  const record = (message: unknown) => {
    if (!options.record || recordedBytes >= maxRecordedBytes) return
    const bytes = Buffer.from(JSON.stringify(message) + '\n')
    recordedBytes += bytes.length
    recorded.push(bytes)
  }

  const recordRequest = (request: Request) => {
    const execute = request.execute && { ...request.execute, statement: String(request.execute.statement) }
    record({ ...request, execute })
  }

  const context: ConnectionContext = {
    member,
    slots,
    random: createRandom(options.seed),
    fault: () => fault,
    serviceMs: options.serviceMs,
    count: verdict => {
      if (verdict === 'statement') statements++
      else declined++
    }
  }

  const refuseConnection = (stream: ConnectionStream, request: Request, reason: string) => {
    stream.write({ requestId: request.requestId, generation: request.generation, end: { verdict: 'DECLINED', reason } })
    stream.end()
  }

  const openConnection = async (stream: ConnectionStream, request: Request) => {
    const reply = { requestId: request.requestId, generation: request.generation }
    if (request.open?.group !== options.group) return refuseConnection(stream, request, 'another group')
    if (openConnections >= options.maxConnections) return refuseConnection(stream, request, 'too many connections')
    openConnections++
    stream.once('close', () => openConnections--)
    stream.pause()
    await sleepMs(options.connectMs)
    serveConnection(context, stream)
    stream.write({ ...reply, end: { verdict: 'DONE', ...member.dataPosition(), fromPrimary: member.canWrite() } })
    stream.resume()
  }

  const connect = (stream: ConnectionStream) => {
    record(stream.metadata.getMap())
    if (options.record) stream.on('data', recordRequest)
    stream.once('data', (request: Request) => openConnection(stream, request))
    stream.on('error', () => {})
    stream.once('cancelled', () => stream.destroy())
    stream.once('end', () => stream.end())
  }

  const status = (): EndpointMessages.MemberStatus => member.state()

  const control = <ControlRequest>(handle: (request: ControlRequest) => ControlResult) =>
    (
      call: ServerUnaryCall<ControlRequest, EndpointMessages.ControlReply>,
      done: sendUnaryData<EndpointMessages.ControlReply>
    ) => {
      const result = handle(call.request)
      done(null, { ...result, status: status() })
    }

  const readLog = (call: ServerWritableStream<StandinMessages.ReadLogRequest__Output, StandinMessages.LoggedEntry>) => {
    let position = call.request.afterPosition
    for (;;) {
      const entries = member.log.entriesAfter(position, logReadBatchSize)
      if (entries.length === 0) return call.end()
      for (const entry of entries) call.write(entry)
      position += entries.length
    }
  }

  const listener = await listenGrpc(options.address, { channels: options.channels }, server => {
    server.addService(endpointProto.Endpoint.service, { Connect: connect })
    server.addService(endpointProto.Member.service, {
      GetStatus: (_call: unknown, done: sendUnaryData<EndpointMessages.MemberStatus>) => done(null, status()),
      FollowStatus: (call: ServerDuplexStream<object, EndpointMessages.MemberStatus>) => {
        call.on('data', () => call.write(status()))
        call.on('end', () => call.end())
        call.on('error', () => {})
      },
      Fence: control<EndpointMessages.FenceRequest__Output>(request => member.fence(request.term)),
      Promote: control<EndpointMessages.PromoteRequest__Output>(request => member.promote(request.term)),
      Follow: control<EndpointMessages.FollowRequest__Output>(request =>
        member.follow(request.term, { name: request.primaryName, address: request.primaryAddress })),
      Replicate: (call: ServerDuplexStream<EndpointMessages.ReplicaProgress__Output, EndpointMessages.LogBatch>) =>
        serveReplica(member, call)
    })
    server.addService(standinProto.DatabaseControl.service, {
      SetDatabaseFault: (call: ServerUnaryCall<Fault, object>, done: sendUnaryData<object>) => {
        fault = call.request
        member.setReplicationLag(fault.replicationLagMs)
        done(null, {})
      },
      ReadLog: readLog,
      GetDatabaseStats: (_call: unknown, done: sendUnaryData<StandinMessages.DatabaseStats>) => {
        const recordedData = Buffer.concat(recorded)
        done(null, { statements, declined, openConnections, running: slots.running(), recorded: recordedData })
      }
    })
  })
  followPrimary(member, options.channels, () => fault.stopReplication, stopping.signal)
  applyContinuously(member, stopping.signal)
  const close = async () => {
    stopping.abort()
    await listener.close()
  }
  return { ...listener, close }
}
