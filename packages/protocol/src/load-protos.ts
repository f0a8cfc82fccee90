/**
 * Loads the published .proto files lazily, because a process uses few of them and loading takes a large part of its
 * start-up time. The options match those of `npm run generate`.
 *
 * The service definitions are built here rather than by `@grpc/proto-loader`, which also encodes a descriptor of each
 * file for server reflection; no program uses reflection, and the descriptors take most of the loading time.
 */
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { makeClientConstructor } from '@grpc/grpc-js'
import type { ServiceDefinition } from '@grpc/grpc-js'
import protobuf from 'protobufjs'
import type { ProtoGrpcType as CallerTypes } from './generated/caller.js'
import type { ProtoGrpcType as EndpointTypes } from './generated/endpoint.js'
import type { ProtoGrpcType as PeerTypes } from './generated/peer.js'
import type { ProtoGrpcType as PlatformTypes } from './generated/platform.js'
import type { ProtoGrpcType as RelayTypes } from './generated/relay.js'
import type { ProtoGrpcType as StandinTypes } from './generated/standin.js'

const protoDir = fileURLToPath(new URL('../proto', import.meta.url))

const conversion: protobuf.IConversionOptions = { longs: Number, enums: String, defaults: true, oneofs: true }

const serializerOf = (type: protobuf.Type) => (message: object): Buffer =>
  Buffer.from(type.encode(type.fromObject(message)).finish())

const deserializerOf = (type: protobuf.Type) => (bytes: Buffer): object => type.toObject(type.decode(bytes), conversion)

/** The methods of a service, under their names in the .proto file. */
const definitionOf = (service: protobuf.Service): ServiceDefinition =>
  Object.fromEntries(service.methodsArray.map(method => {
    method.resolve()
    const { resolvedRequestType: request, resolvedResponseType: response } = method
    if (request === null || response === null) throw new Error(`types of ${method.fullName} are not declared`)
    return [method.name, {
      path: `/${service.fullName.slice(1)}/${method.name}`,
      requestStream: method.requestStream === true,
      responseStream: method.responseStream === true,
      requestSerialize: serializerOf(request),
      requestDeserialize: deserializerOf(request),
      responseSerialize: serializerOf(response),
      responseDeserialize: deserializerOf(response)
    }]
  }))

/** The client constructors of all services in a file's package, with their definitions. */
const load = (file: string, packageName: string): unknown => {
  const root = new protobuf.Root()
  root.resolvePath = (_origin, target) => join(protoDir, target)
  root.loadSync(file).resolveAll()
  const declarations = root.lookup(packageName)
  if (!(declarations instanceof protobuf.Namespace)) throw new Error(`${file} does not declare ${packageName}`)
  const services = declarations.nestedArray.filter(declaration => declaration instanceof protobuf.Service)
  return Object.fromEntries(services.map(service =>
    [service.name, makeClientConstructor(definitionOf(service), service.name)]))
}

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
export const callerProto =
  lazyObject(() => load('caller.proto', 'egretyoke.caller.v1') as CallerTypes['egretyoke']['caller']['v1'])
/** Services of database group members. */
export const endpointProto =
  lazyObject(() => load('endpoint.proto', 'egretyoke.endpoint.v1') as EndpointTypes['egretyoke']['endpoint']['v1'])
/** Services between entries and stewards. */
export const peerProto =
  lazyObject(() => load('peer.proto', 'egretyoke.peer.v1') as PeerTypes['egretyoke']['peer']['v1'])
/** Services of the platform. */
export const platformProto =
  lazyObject(() => load('platform.proto', 'egretyoke.platform.v1') as PlatformTypes['egretyoke']['platform']['v1'])
/** Services between gateways. */
export const relayProto =
  lazyObject(() => load('relay.proto', 'egretyoke.relay.v1') as RelayTypes['egretyoke']['relay']['v1'])
/** Control services of the stand-in servers. */
export const standinProto =
  lazyObject(() => load('standin.proto', 'egretyoke.standin.v1') as StandinTypes['egretyoke']['standin']['v1'])
