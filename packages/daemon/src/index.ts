export * from './admin/app.js'
export * from './nodeDaemon.js'
export * from './settings/schema.js'
