export * from './nodeProxyServer.js'
export * from './routing/router.js'
