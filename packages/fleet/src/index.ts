export * from './grpc-platform.js'
export * from './platform.js'
export * from './member.js'
export * from './member-grpc.js'
