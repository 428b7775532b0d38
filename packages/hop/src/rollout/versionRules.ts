import type { MoveFacts, Random } from '@lentilwheel/core'
import { FULL_STAGE, LOAD_STAGE } from '@lentilwheel/moves'
import type { HostRecord } from '../fleet/records.js'
import type { MoveOrder } from './order.js'

/** Which targets may get one request. */
export interface VersionChoice {
  accepts (record: HostRecord): boolean
  /** The host that goes before all others; undefined when none does. */
  preferred: string | undefined
}

/** Where a move stands, by its order and its facts. */
export type MovePhase = 'waiting' | 'moving' | 'full' | 'completed' | 'rolledBack'

export function phaseOf (order: MoveOrder, facts: MoveFacts): MovePhase {
  if (order.state === 'rolledBack' || facts.rollback) return 'rolledBack'
  if (order.state === 'completed' || facts.outcome?.outcome === 'done') return 'completed'
  if (!facts.stage) return 'waiting'
  return facts.stage.stage >= FULL_STAGE ? 'full' : 'moving'
}

/** Which versions of a service may get a request. */
export interface VersionChooser {
  /** Chooses for one request; undefined when all versions may get it. */
  choose (service: string): VersionChoice | undefined
}

/**
 * Which versions of a service may get traffic. A version that differs from what the service runs gets none until an
 * order names it, so that new targets whose order has not been heard of yet are left alone.
 */
export class VersionRules {
  readonly #random: Random
  readonly #orders = new Map<string, MoveOrder>()
  readonly #facts = new Map<string, MoveFacts>()
  /** Ready targets of each service. */
  readonly #targets = new Map<string, HostRecord[]>()
  /** The version that a service ran when no order was known. */
  readonly #settled = new Map<string, string>()

  constructor (random: Random) {
    this.#random = random
  }

  order (service: string): MoveOrder | undefined {
    return this.#orders.get(service)
  }

  orders (): MoveOrder[] {
    return [...this.#orders.values()]
  }

  phase (service: string): MovePhase | undefined {
    const order = this.#orders.get(service)
    return order && phaseOf(order, this.#facts.get(order.id) ?? {})
  }

  /** Takes an order in; false if a later state of it is known. */
  setOrder (order: MoveOrder): boolean {
    const held = this.#orders.get(order.service)
    if (held && held.revision >= order.revision) return false
    this.#orders.set(order.service, order)
    return true
  }

  setFacts (move: string, facts: MoveFacts): void {
    this.#facts.set(move, facts)
  }

  setHosts (records: readonly HostRecord[]): void {
    this.#targets.clear()
    for (const record of records) {
      const { target } = record
      if (target?.state !== 'ready' || record.stopping) continue
      const list = this.#targets.get(target.service)
      if (list) list.push(record)
      else this.#targets.set(target.service, [record])
    }
    for (const [service, list] of this.#targets) {
      const held = this.#settled.get(service)
      if (held !== undefined && list.some(({ target }) => target!.version === held)) continue
      this.#settled.set(service, mostCommonVersion(list))
    }
  }

  /** Slots of the ready targets of the order's new version, of all others, and of one new target. */
  slots (service: string): { newSlots: number, oldSlots: number, slotsPerTarget: number } {
    const to = this.#orders.get(service)?.to
    const sums = { newSlots: 0, oldSlots: 0, slotsPerTarget: 1 }
    for (const { target } of this.#targets.get(service) ?? []) {
      if (target!.version !== to) {
        sums.oldSlots += target!.slots
        continue
      }
      sums.newSlots += target!.slots
      sums.slotsPerTarget = target!.slots
    }
    return sums
  }

  choose (service: string): VersionChoice | undefined {
    const order = this.#orders.get(service)
    if (!order) return this.#onlySettled(service)
    const { to } = order
    const newHosts = (this.#targets.get(service) ?? []).filter(({ target }) => target!.version === to)
    const isOld = (record: HostRecord): boolean => record.target!.version !== to
    const isNew = (record: HostRecord): boolean => record.target!.version === to
    switch (phaseOf(order, this.#facts.get(order.id) ?? {})) {
      case 'completed':
        return newHosts.length > 0 ? { accepts: isNew, preferred: undefined } : undefined
      case 'rolledBack':
      case 'waiting':
        return { accepts: isOld, preferred: undefined }
      default: {
        const { stage, share } = this.#facts.get(order.id)!.stage!
        if (newHosts.length === 0 || this.#random.next() >= share) return { accepts: isOld, preferred: undefined }
        const preferred = stage === LOAD_STAGE ? newHosts.map(({ host }) => host).sort()[0] : undefined
        return { accepts: isNew, preferred }
      }
    }
  }

  /** Whether a request for the version may still be started. */
  isOpen (service: string, version: string): boolean {
    const order = this.#orders.get(service)
    if (!order) return true
    const phase = phaseOf(order, this.#facts.get(order.id) ?? {})
    if (order.to === version) return phase !== 'rolledBack' && phase !== 'waiting'
    return phase !== 'completed'
  }

  #onlySettled (service: string): VersionChoice | undefined {
    const settled = this.#settled.get(service)
    const targets = this.#targets.get(service) ?? []
    if (targets.every(({ target }) => target!.version === settled)) return undefined
    return { accepts: ({ target }) => target!.version === settled, preferred: undefined }
  }
}

function mostCommonVersion (records: readonly HostRecord[]): string {
  const counts = new Map<string, number>()
  for (const { target } of records) counts.set(target!.version, (counts.get(target!.version) ?? 0) + 1)
  return [...counts].sort(([a, n], [b, m]) => m - n || (a < b ? -1 : 1))[0]?.[0] ?? ''
}
