export * from './documents.js'
export * from './keys.js'
export * from './read-documents.js'
export * from './stored-records.js'
