/**
 * Loads the published .proto files lazily, because a process uses few of them and loading takes a large part of its
 * start-up time. The options match those of `npm run generate`.
 */
import { fileURLToPath } from 'node:url'
import { loadPackageDefinition } from '@grpc/grpc-js'
import { loadSync } from '@grpc/proto-loader'
import type { ProtoGrpcType as CallerTypes } from './generated/caller.js'
import type { ProtoGrpcType as EndpointTypes } from './generated/endpoint.js'
import type { ProtoGrpcType as PeerTypes } from './generated/peer.js'
import type { ProtoGrpcType as PlatformTypes } from './generated/platform.js'
import type { ProtoGrpcType as RelayTypes } from './generated/relay.js'
import type { ProtoGrpcType as StandinTypes } from './generated/standin.js'

const protoDir = fileURLToPath(new URL('../proto', import.meta.url))

const load = (file: string): unknown => loadPackageDefinition(loadSync(file, {
  longs: Number,
  enums: String,
  defaults: true,
  oneofs: true,
  includeDirs: [protoDir]
}))

/** Returns a proxy of the object that `create` returns; `create` runs when a property is first read. */
const lazyObject = <T extends object>(create: () => T): T => {
  let instance: T | undefined
  return new Proxy({} as T, {
    get: (_target, property) => {
      instance ??= create()
      return Reflect.get(instance, property)
    }
  })
}

/** Services for callers. */
export const callerProto = lazyObject(() => (load('caller.proto') as CallerTypes).egretyoke.caller.v1)
/** Services of database group members. */
export const endpointProto = lazyObject(() => (load('endpoint.proto') as EndpointTypes).egretyoke.endpoint.v1)
/** Services between entries and stewards. */
export const peerProto = lazyObject(() => (load('peer.proto') as PeerTypes).egretyoke.peer.v1)
/** Services of the platform. */
export const platformProto = lazyObject(() => (load('platform.proto') as PlatformTypes).egretyoke.platform.v1)
/** Services between gateways. */
export const relayProto = lazyObject(() => (load('relay.proto') as RelayTypes).egretyoke.relay.v1)
/** Control services of the stand-in servers. */
export const standinProto = lazyObject(() => (load('standin.proto') as StandinTypes).egretyoke.standin.v1)
