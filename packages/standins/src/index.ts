export * from './platform-server.js'
export * from './platform-store.js'
export * from './programs.js'
