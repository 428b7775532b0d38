export * from './platformServer.js'
export * from './platformStore.js'
export * from './targetServer.js'
