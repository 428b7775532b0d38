import { ConfigBuilder } from '@lentilwheel/builder'

/** Kitaboshi's services: four data centres, 6 slots and 100 connections an instance. */
export function kitaboshiConfig (): ConfigBuilder {
  const builder = new ConfigBuilder()
  const common = { versions: ['v1', 'v2'], current: 'v1', profile: 'kitaboshi', slots: 6, connections: 100 } as const
  const showroom = builder.service('showroom', common)
  const orders = builder.service('orders', common)
  const workroom = builder.service('workroom', common)
  return builder
    .route('catalogue', { service: showroom, path: '/catalogue/*', methods: ['GET'] })
    .route('fittings', { service: showroom, path: '/fittings/*', idempotent: true })
    .route('placeOrder', { service: orders, path: '/orders', methods: ['POST'], idempotent: false })
    .route('stylingSheets', { service: workroom, path: '/sheets/*', methods: ['GET'] })
}
