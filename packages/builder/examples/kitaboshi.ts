import { ConfigBuilder, type ServiceOptions } from '@lentilwheel/builder'

/**
 * Kitaboshi Wig Atelier: three services of four instances each in Hokkaido. A lost order ruins a performance and a
 * duplicate is made and billed twice, so calls that place orders are declared not idempotent and are never repeated, and
 * moves prefer to keep the old version. With `moveOrdersBy` the orders service moves to v2 and is watched at 100% for ten
 * minutes before the move is done.
 */
export function kitaboshiConfig (opts: { moveOrdersBy?: Date } = {}): ConfigBuilder {
  const mesh = new ConfigBuilder()
  // Callers are 8 ms away. An instance runs up to 6 calls at a time and accepts up to 100 connections.
  const commonOptions: ServiceOptions<'v1' | 'v2'> = {
    versions: ['v1', 'v2'], current: 'v1', profile: 'kitaboshi', slots: 6, connections: 100
  }
  const showroom = mesh.service('showroom', { ...commonOptions, timeout: '2s' })
  const orders = mesh.service('orders', { ...commonOptions, timeout: '10s', retryBudget: 0.05 })
  const workroom = mesh.service('workroom', commonOptions)
  if (opts.moveOrdersBy) {
    mesh.move('ordersV2', { service: orders, from: 'v1', to: 'v2', by: opts.moveOrdersBy, hold: '10m', whenUnsure: 'keepOld' })
  }
  return mesh
    .route('catalogue', { service: showroom, path: '/catalogue/*', methods: ['GET'] })
    .route('fittings', { service: showroom, path: '/fittings/*', idempotent: true })
    .route('placeOrder', { service: orders, path: '/orders', methods: ['POST'], idempotent: false })
    .route('orderStatus', { service: orders, path: '/orders/*', methods: ['GET'] })
    .route('stylingSheets', { service: workroom, path: '/sheets/*', methods: ['GET'] })
    .route('startWork', { service: workroom, path: '/sheets', methods: ['POST'], idempotent: false })
}
