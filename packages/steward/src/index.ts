export * from './events.js'
export * from './program.js'
export * from './settings.js'
export * from './start-steward.js'
