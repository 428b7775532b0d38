export * from './client.js'
export * from './configStore.js'
export * from './errors.js'
export * from './nodeHttpClient.js'
