export * from './events.js'
export * from './program.js'
