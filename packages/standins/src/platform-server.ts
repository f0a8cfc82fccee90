/**
 * gRPC server of the platform: implements its published protocol on the in-memory store, with faults that tests can
 * set.
 */
import type { sendUnaryData, ServerUnaryCall, ServerWritableStream } from '@grpc/grpc-js'
import { createRandom, monotonicMs, sleepMs } from '@egretyoke/common'
import { listenGrpc, platformProto, standinProto } from '@egretyoke/protocol'
import type { ChannelSettings, GrpcListener, PlatformMessages, StandinMessages } from '@egretyoke/protocol'
import { createPlatformStore } from './platform-store.js'
import type { StoreEntry } from './platform-store.js'

type Fault = StandinMessages.PlatformFault__Output
type Vm = PlatformMessages.Vm__Output
type DatedVmList = { vms: Vm[], sinceMs: number }
type RangeRequest = PlatformMessages.RangeRequest__Output

const noFault: Fault = {
  down: false, delayMs: 0, loseSwapAnswers: 0, skipWatchMessages: 0, vmListLagMs: 0
}

const leaseCheckIntervalMs = 50
const maxVmLists = 100

/** Options of the stand-in; `seed` is for the random faults. */
export type StandinPlatformOptions = {
  address: string
  channels: ChannelSettings
  seed: number
}

/** Starts the stand-in of the platform; resolves when it listens. */
export const startStandinPlatform = async (options: StandinPlatformOptions): Promise<GrpcListener> => {
  const store = createPlatformStore()
  const random = createRandom(options.seed)
  const startedMs = monotonicMs()
  let fault = noFault
  let vmLists: DatedVmList[] = []
  let calls = 0
  let writes = 0
  const watches = new Set<(changes: PlatformMessages.RangeReply) => void>()

  const toMessage = (entry: StoreEntry | undefined): PlatformMessages.Entry | null => entry ?? null

  /** Handles a call and replies after the current delay. Never replies while the platform is down. */
  const unary = <Request, Reply>(handle: (request: Request) => Reply, losesReply: () => boolean = () => false) =>
    async (call: ServerUnaryCall<Request, Reply>, done: sendUnaryData<Reply>) => {
      calls++
      if (fault.delayMs > 0) await sleepMs(fault.delayMs)
      if (fault.down) return
      const reply = handle(call.request)
      if (losesReply()) return
      done(null, reply)
    }

  const watch = (call: ServerWritableStream<RangeRequest, PlatformMessages.RangeReply>) => {
    calls++
    const { prefix, afterRevision } = call.request
    const send = (changes: PlatformMessages.RangeReply) => {
      if (fault.down || random.chance(fault.skipWatchMessages)) return
      setTimeout(() => call.write(changes), fault.delayMs)
    }
    send({ entries: store.range(prefix, afterRevision), storeRevision: store.revision() })
    const unsubscribe = store.subscribe(entry => {
      if (!entry.key.startsWith(prefix)) return
      send({ entries: [entry], storeRevision: entry.revision })
    })
    watches.add(send)
    call.on('cancelled', () => {
      unsubscribe()
      watches.delete(send)
      call.end()
    })
  }

  const visibleVms = (): Vm[] => {
    const visibleBeforeMs = monotonicMs() - fault.vmListLagMs
    const visible = vmLists.filter(list => list.sinceMs <= visibleBeforeMs)
    return (visible.at(-1) ?? vmLists[0])?.vms ?? []
  }

  const swap = (request: PlatformMessages.SwapRequest__Output): PlatformMessages.SwapReply => {
    writes++
    const result = store.compareAndSwap(request)
    return { swapped: result.swapped, current: toMessage(result.current), storeRevision: store.revision() }
  }

  const listener = await listenGrpc(options.address, { channels: options.channels }, server => {
    server.addService(platformProto.KeyValue.service, {
      Get: unary<PlatformMessages.GetRequest__Output, PlatformMessages.GetReply>(request =>
        ({ entry: toMessage(store.get(request.key)), storeRevision: store.revision() })),
      Range: unary<RangeRequest, PlatformMessages.RangeReply>(request =>
        ({ entries: store.range(request.prefix, request.afterRevision), storeRevision: store.revision() })),
      CompareAndSwap: unary(swap, () => random.chance(fault.loseSwapAnswers)),
      Watch: watch,
      GrantLease: unary<PlatformMessages.LeaseRequest__Output, PlatformMessages.LeaseReply>(request =>
        ({ leaseId: store.grantLease(request.ttlMs), alive: true, ttlMs: request.ttlMs })),
      KeepAlive: unary<PlatformMessages.LeaseRequest__Output, PlatformMessages.LeaseReply>(request =>
        ({ leaseId: request.leaseId, alive: store.keepAlive(request.leaseId) })),
      RevokeLease: unary<PlatformMessages.LeaseRequest__Output, PlatformMessages.LeaseReply>(request => {
        store.revokeLease(request.leaseId)
        return { leaseId: request.leaseId, alive: false }
      })
    })
    server.addService(platformProto.VmList.service, {
      List: unary<PlatformMessages.VmListRequest__Output, PlatformMessages.VmListReply>(() => ({ vms: visibleVms() }))
    })
    server.addService(standinProto.PlatformControl.service, {
      SetVms: (call: ServerUnaryCall<StandinMessages.SetVmsRequest__Output, object>, done: sendUnaryData<object>) => {
        vmLists = [...vmLists, { vms: call.request.vms, sinceMs: monotonicMs() }].slice(-maxVmLists)
        done(null, {})
      },
      SetPlatformFault: (call: ServerUnaryCall<Fault, object>, done: sendUnaryData<object>) => {
        fault = call.request
        done(null, {})
      },
      GetPlatformStats: (_call: unknown, done: sendUnaryData<StandinMessages.PlatformStats>) => {
        done(null, { calls, writes, waitingWatches: watches.size, uptimeMs: Math.round(monotonicMs() - startedMs) })
      }
    })
  })
  const leaseTimer = setInterval(store.expireLeases, leaseCheckIntervalMs)
  const close = async () => {
    clearInterval(leaseTimer)
    await listener.close()
  }
  return { ...listener, close }
}
