import type { MoveFacts, Random } from '@lentilwheel/core'
import { FULL_STAGE, LOAD_TEST_STAGE } from '@lentilwheel/moves'
import type { EvacuationView } from '../evacuation/evacuationRecord.js'
import { availableTarget, type HostRecord } from '../fleet/hostRecord.js'
import { isLater } from '../store/storeRevision.js'
import type { MoveOrder } from './moveOrder.js'
import { BEFORE_ORDERS, type TrustedVersion } from './trustedVersion.js'

/** Which targets may get one particular request. */
export interface VersionChoice {
  accepts (record: HostRecord): boolean
  /** Host to try before all others; undefined for no preference. */
  preferredHost: string | undefined
}

/** One of the choices for the requests of a service, and the share of the requests that it is made for. */
export interface VersionOption extends VersionChoice {
  share: number
}

/**
 * Progress of a move, by its order and its facts. `waiting`: nothing decided yet; `moving`: the new version gets a share;
 * `full`: it gets all traffic, but the move isn't completed.
 */
export type MovePhase = 'waiting' | 'moving' | 'full' | 'completed' | 'rolledBack'

export function phaseOf (order: MoveOrder, facts: MoveFacts): MovePhase {
  if (order.state === 'withdrawn' || order.state === 'rolledBack' || facts.rollback) return 'rolledBack'
  if (order.state === 'completed' || facts.outcome?.outcome === 'done') return 'completed'
  if (!facts.stage) return 'waiting'
  return facts.stage.stage >= FULL_STAGE ? 'full' : 'moving'
}

/** Decides which versions of a service may get a request. */
export interface VersionChooser {
  /** Decides for one request; undefined if all versions may get it. */
  choose (service: string): VersionChoice | undefined
}

/**
 * Decides which versions of a service get its traffic, by the orders and facts of moves. A version other than the trusted one
 * gets no traffic until an order names it, as targets of a new version may start before their order reaches this daemon, and
 * then only what the move to it gives it. An order for the trusted version gives it all traffic at once.
 */
export class VersionRules {
  readonly #random: Random
  readonly #evacuations: EvacuationView | undefined
  readonly #orders = new Map<string, MoveOrder>()
  readonly #facts = new Map<string, MoveFacts>()
  /** Hosts with a ready target, by service. */
  readonly #readyHosts = new Map<string, HostRecord[]>()
  readonly #trusted = new Map<string, TrustedVersion>()
  /** Version that gets what no move gives to another: the trusted one, or one in its place while that is unknown or no ready target runs it. */
  readonly #baselineVersions = new Map<string, string>()

  constructor (random: Random, evacuations?: EvacuationView) {
    this.#random = random
    this.#evacuations = evacuations
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

  /** Takes over an order; false if the known one for the service is as late or later. */
  setOrder (order: MoveOrder): boolean {
    const known = this.#orders.get(order.service)
    if (known && !isLater(order.revision, known.revision)) return false
    this.#orders.set(order.service, order)
    this.#onOrder(order)
    return true
  }

  setFacts (move: string, facts: MoveFacts): void {
    this.#facts.set(move, facts)
    for (const { id, service } of this.#orders.values()) if (id === move) this.#updateBaseline(service)
  }

  trustedVersions (): TrustedVersion[] {
    return [...this.#trusted.values()]
  }

  /** Takes over the trusted version of a service, unless that of a later order is known. */
  trust (trusted: TrustedVersion): void {
    const { service, since } = trusted
    const known = this.#trusted.get(service)
    if (known && !isLater(since, known.since)) return
    this.#trusted.set(service, trusted)
    this.#updateBaseline(service)
  }

  /** Whether the order's version is the trusted one. */
  isReturn ({ service, to }: MoveOrder): boolean {
    return this.#trusted.get(service)?.version === to
  }

  /** Versions that services without a trusted one can be taken to run: the only one of their ready targets, besides that of an order under way. */
  presumedVersions (): TrustedVersion[] {
    const presumed: TrustedVersion[] = []
    for (const [service, hosts] of this.#readyHosts) {
      if (this.#trusted.has(service)) continue
      const versions = new Set(this.#provenHosts(service, hosts).map(({ target }) => target!.version))
      const [version] = versions
      if (version !== undefined && versions.size === 1) presumed.push({ service, version, since: BEFORE_ORDERS })
    }
    return presumed
  }

  /** Takes over the ready targets. */
  setHosts (records: readonly HostRecord[]): void {
    this.#readyHosts.clear()
    for (const record of records) {
      const target = availableTarget(record)
      if (!target) continue
      const list = this.#readyHosts.get(target.service)
      if (list) list.push(record)
      else this.#readyHosts.set(target.service, [record])
    }
    for (const service of this.#readyHosts.keys()) this.#updateBaseline(service)
  }

  /** Total slots of the ready targets of the order's new version and of the baseline version, and the slots of one new target. */
  slots (service: string): { newSlots: number, oldSlots: number, slotsPerTarget: number } {
    const to = this.#orders.get(service)?.to
    const baseline = this.#baselineVersions.get(service)
    const counts = { newSlots: 0, oldSlots: 0, slotsPerTarget: 1 }
    for (const { target } of this.#readyHosts.get(service) ?? []) {
      if (target!.version !== to) {
        if (target!.version === baseline) counts.oldSlots += target!.slots
        continue
      }
      counts.newSlots += target!.slots
      counts.slotsPerTarget = target!.slots
    }
    return counts
  }

  /** Decides for one request; during a move, the new version is chosen at random with its current share. */
  choose (service: string): VersionChoice | undefined {
    const [first, second] = this.options(service)
    return second && this.#random.next() < second.share ? second : first
  }

  /** The choices for the requests of a service: at most two, the old and the new version; none if all versions may get them. */
  options (service: string): VersionOption[] {
    const order = this.#orders.get(service)
    if (!order) return this.#baselineOptions(service)
    const { to } = order
    const baseline = this.#baselineVersions.get(service)
    const isOld = ({ target }: HostRecord): boolean => target!.version === baseline
    const isNew = ({ target }: HostRecord): boolean => target!.version === to
    if (to === baseline) return [only(isNew)]
    const newHosts = (this.#readyHosts.get(service) ?? []).filter(isNew)
    switch (phaseOf(order, this.#facts.get(order.id) ?? {})) {
      case 'completed':
        return newHosts.length > 0 ? [only(isNew)] : []
      case 'rolledBack':
      case 'waiting':
        return [only(isOld)]
      default: {
        const { stage, share } = this.#facts.get(order.id)!.stage!
        const usable = newHosts.filter(({ dataCentre }) => !this.#evacuations?.isEvacuated(dataCentre))
        if (usable.length === 0) return [only(isOld)]
        const preferredHost = stage === LOAD_TEST_STAGE ? usable.map(({ host }) => host).sort()[0] : undefined
        return [{ accepts: isOld, preferredHost: undefined, share: 1 - share }, { accepts: isNew, preferredHost, share }]
      }
    }
  }

  /** Whether a request for the version may still be started. */
  isVersionAllowed (service: string, version: string): boolean {
    const order = this.#orders.get(service)
    if (!order) return true
    const phase = phaseOf(order, this.#facts.get(order.id) ?? {})
    const trusted = this.#trusted.get(service)?.version
    if (order.to === version) return version === trusted || (phase !== 'rolledBack' && phase !== 'waiting')
    if (trusted !== undefined && version !== this.#baselineVersions.get(service)) return false
    return phase !== 'completed'
  }

  /** The version of a completed move is trusted once the store says so: until then another coordinator may have taken it back. */
  #onOrder ({ service, to, state, revision }: MoveOrder): void {
    if (state === 'completed') this.trust({ service, version: to, since: revision })
    this.#updateBaseline(service)
  }

  /** A version in place of the trusted one is kept while any target of the service still runs it, and isn't that of an order under way. */
  #updateBaseline (service: string): void {
    const hosts = this.#readyHosts.get(service) ?? []
    const trusted = this.#trusted.get(service)?.version
    if (trusted !== undefined && isRunBy(hosts, trusted)) {
      this.#baselineVersions.set(service, trusted)
      return
    }
    const proven = this.#provenHosts(service, hosts)
    const known = this.#baselineVersions.get(service)
    if (proven.length === 0 || (known !== undefined && isRunBy(proven, known))) return
    this.#baselineVersions.set(service, mostCommonVersion(proven))
  }

  /** The hosts without those of the version that an order under way names. */
  #provenHosts (service: string, hosts: readonly HostRecord[]): HostRecord[] {
    const to = this.phase(service) === 'completed' ? undefined : this.#orders.get(service)?.to
    return hosts.filter(({ target }) => target!.version !== to)
  }

  /** Without an order: only the baseline version, or no restriction if all ready targets run it. */
  #baselineOptions (service: string): VersionOption[] {
    const baseline = this.#baselineVersions.get(service)
    const hosts = this.#readyHosts.get(service) ?? []
    if (hosts.every(({ target }) => target!.version === baseline)) return []
    return [only(({ target }) => target!.version === baseline)]
  }
}

function isRunBy (records: readonly HostRecord[], version: string): boolean {
  return records.some(({ target }) => target!.version === version)
}

/** The choice of the same targets for all requests. */
function only (accepts: VersionChoice['accepts']): VersionOption {
  return { accepts, preferredHost: undefined, share: 1 }
}

function mostCommonVersion (records: readonly HostRecord[]): string {
  const counts = new Map<string, number>()
  for (const { target } of records) counts.set(target!.version, (counts.get(target!.version) ?? 0) + 1)
  return [...counts].sort(([a, n], [b, m]) => m - n || (a < b ? -1 : 1))[0]?.[0] ?? ''
}
