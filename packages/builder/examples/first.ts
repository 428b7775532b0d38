import { ConfigBuilder } from '@lentilwheel/builder'

const mesh = new ConfigBuilder()
const orders = mesh.service('orders', { versions: ['v1', 'v2'], current: 'v1' })
mesh.route('listOrders', { service: orders, path: '/orders/*', methods: ['GET'] })
mesh.route('placeOrder', { service: orders, path: '/orders', methods: ['POST'], idempotent: false })
mesh.move('ordersV2', { service: orders, from: 'v1', to: 'v2', by: '2026-12-04T18:00:00Z' })

// Usage: node first.js | lentilwheel apply -
process.stdout.write(mesh.toYaml())
