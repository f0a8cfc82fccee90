export * from './caller-streams.js'
export * from './local-fleet.js'
export * from './session-checker.js'
export * from './write-checker.js'
