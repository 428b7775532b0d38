import type { Random } from '@lentilwheel/core'
import type { HostRecord } from '../fleet/records.js'
import type { MoveOrder } from './order.js'

/**
 * Which versions of a service may get traffic. A version that differs from what the service runs gets none until an
 * order names it, so that new targets whose order has not been heard of yet are left alone.
 */
export class VersionRules {
  readonly #random: Random
  readonly #orders = new Map<string, MoveOrder>()
  readonly #shares = new Map<string, number>()
  /** Ready targets by version, for each service. */
  readonly #targets = new Map<string, Map<string, number>>()
  /** The version that a service ran when it was first seen with one version only. */
  readonly #settled = new Map<string, string>()

  constructor (random: Random) {
    this.#random = random
  }

  order (service: string): MoveOrder | undefined {
    return this.#orders.get(service)
  }

  setOrder (order: MoveOrder): void {
    const held = this.#orders.get(order.service)
    if (held && held.revision >= order.revision) return
    if (held?.id !== order.id) this.#shares.delete(order.service)
    this.#orders.set(order.service, order)
  }

  /** Share of the service's traffic that the new version of its order gets. */
  setShare (service: string, share: number): void {
    this.#shares.set(service, share)
  }

  share (service: string): number {
    return this.#shares.get(service) ?? 0
  }

  setHosts (records: readonly HostRecord[]): void {
    this.#targets.clear()
    for (const { target } of records) {
      if (target?.state !== 'ready') continue
      const versions = this.#targets.get(target.service) ?? new Map<string, number>()
      versions.set(target.version, (versions.get(target.version) ?? 0) + 1)
      this.#targets.set(target.service, versions)
    }
    for (const [service, versions] of this.#targets) {
      const held = this.#settled.get(service)
      if (held !== undefined && versions.has(held)) continue
      this.#settled.set(service, mostCommon(versions))
    }
  }

  choose (service: string): ((version: string) => boolean) | undefined {
    const order = this.#orders.get(service)
    if (!order) return this.#onlySettled(service)
    switch (order.state) {
      case 'completed':
        return this.#has(service, order.to) ? (version) => version === order.to : undefined
      case 'rolledBack':
        return (version) => version !== order.to
      default: {
        const isNew = this.#random.next() < this.share(service)
        return (version) => (version === order.to) === isNew
      }
    }
  }

  /** Whether a request for the version may still be started. */
  isOpen (service: string, version: string): boolean {
    const order = this.#orders.get(service)
    if (!order || order.to !== version) return true
    return order.state === 'completed' || (order.state !== 'rolledBack' && this.share(service) > 0)
  }

  #onlySettled (service: string): ((version: string) => boolean) | undefined {
    const versions = this.#targets.get(service)
    if (!versions || versions.size < 2) return undefined
    const settled = this.#settled.get(service)
    return (version) => version === settled
  }

  #has (service: string, version: string): boolean {
    return this.#targets.get(service)?.has(version) ?? false
  }
}

function mostCommon (versions: ReadonlyMap<string, number>): string {
  let best = ''
  let most = 0
  for (const [version, n] of versions) {
    if (n > most || (n === most && version < best)) {
      best = version
      most = n
    }
  }
  return best
}
