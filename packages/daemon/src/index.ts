export * from './nodeDaemon.js'
export * from './settings.js'
