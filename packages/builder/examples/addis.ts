import { ConfigBuilder, type ServiceOptions } from '@lentilwheel/builder'

/**
 * Addis Carvers Consortium: a catalogue service of six instances, commissions and archives of four each, in four data
 * centres about 1 ms apart. Load surges during festivals, services call each other and look-ups must be fast. Therefore
 * queues are long, timeouts are short, and moves prefer to meet their deadline.
 */
export function addisConfig (): ConfigBuilder {
  const mesh = new ConfigBuilder()
  // An instance runs up to 12 calls at a time and accepts up to 130 connections.
  const commonOptions: ServiceOptions<'festival' | 'plain'> = {
    versions: ['plain', 'festival'], current: 'plain', profile: 'addis', slots: 12, connections: 130, queue: 400
  }
  const catalogue = mesh.service('catalogue', { ...commonOptions, timeout: '500ms', maxAttempts: 2, idempotent: true })
  const commissions = mesh.service('commissions', { ...commonOptions, timeout: '3s' })
  const archives = mesh.service('archives', { ...commonOptions, timeout: '1s', maxBodyBytes: 16 * 1024 ** 2 })
  mesh
    .route('lookUp', { service: catalogue, path: '/carvings/*', methods: ['GET', 'HEAD'] })
    .route('search', { service: catalogue, path: '/search', methods: ['POST'], idempotent: true })
    .route('commission', { service: commissions, path: '/commissions', methods: ['POST'], idempotent: false })
    .route('commissionStatus', { service: commissions, path: '/commissions/*', methods: ['GET'] })
    .route('provenance', { service: archives, path: '/archives/*', methods: ['GET'], timeout: '800ms' })
    .route('partnerLookUp', { service: catalogue, host: 'partners.addis.example', path: '/*', headers: { 'x-workshop': 'rival' } })
  return mesh.move('festivalCatalogue', {
    service: catalogue, from: 'plain', to: 'festival', by: '2027-01-07T05:00:00+03:00', hold: '30s', whenUnsure: 'finish'
  })
}
