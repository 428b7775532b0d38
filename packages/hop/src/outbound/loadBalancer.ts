import { rendezvousScore, type Random, type Timers } from '@lentilwheel/core'
import type { EvacuationView } from '../evacuation/evacuationRecord.js'
import { availableTarget, type HostRecord } from '../fleet/hostRecord.js'
import type { TargetLoad } from '../link/messages.js'
import { CostEstimator, freshnessAt, type Candidate, type OwnLink, type RequestTraits, type TargetStats } from './costEstimate.js'
import { HeardLimits } from './heardLimits.js'
import { targetSubset } from './targetSubset.js'

/** What ranks a target, besides the request, for reports. The milliseconds tell for how long a state still holds, 0 for not. */
export interface TargetFigures {
  /** What it last reported; absent if it has reported nothing. */
  load?: TargetLoad
  loadAgeMs?: number
  /** Offers of this daemon to the target that have had no reply yet. */
  inFlight: number
  /** Its daemon didn't reply, or rejected all requests. */
  avoidMs: number
  /** It had no free slot. */
  busyMs: number
  /** It takes no more requests, by the limit that it states. */
  limitedMs: number
  coldMs: number
}

/** How long a target is avoided whose daemon is unreachable or rejects all requests. */
const AVOID_MS = 400
/** How long a target that reported no free slot gets no offers to start a request at once. */
const BUSY_MS = 25
/** How long a target whose queue was too long isn't offered requests of the same or lower urgency to queue. */
const QUEUE_FULL_MS = 60

/**
 * Ranks the targets of a service by the estimated time until the response, from their load, latency, failures and data
 * centre. The estimates use what replies reported and the calls that this daemon has in flight; random jitter keeps
 * daemons with the same view from all choosing the same target.
 */
export class LoadBalancer {
  readonly #timers: Pick<Timers, 'now'>
  readonly #dataCentre: string
  readonly #host: string
  readonly #costs: CostEstimator
  readonly #evacuations: EvacuationView | undefined
  readonly #stats = new Map<string, TargetStats>()
  /** Hosts with a target that is ready, by service. */
  readonly #byService = new Map<string, HostRecord[]>()
  readonly #heardLimits = new HeardLimits()
  /** The subset of these hosts that requests normally go to; the others are used only if none of the subset is eligible. */
  readonly #subsets = new Map<string, HostRecord[]>()

  /** `host`: this daemon's own host, which determines the remote targets of its subset; `link`: that of this host, unlimited by default. */
  constructor (opts: { timers: Pick<Timers, 'now'>, random: Random, dataCentre: string, host?: string, link?: OwnLink, evacuations?: EvacuationView }) {
    this.#timers = opts.timers
    this.#evacuations = opts.evacuations
    this.#dataCentre = opts.dataCentre
    this.#host = opts.host ?? ''
    this.#costs = new CostEstimator({ ...opts, host: this.#host })
  }

  /** Replaces the known hosts; those whose target is not ready, whose daemon is stopping or whose data centre is evacuated get no requests. */
  setHosts (records: readonly HostRecord[]): void {
    this.#byService.clear()
    const now = this.#timers.now()
    const hosts = new Set<string>()
    for (const record of records) {
      const target = availableTarget(record)
      if (!target) continue
      hosts.add(record.host)
      if (!this.#evacuations?.isEvacuated(record.dataCentre)) {
        const list = this.#byService.get(target.service)
        if (list) list.push(record)
        else this.#byService.set(target.service, [record])
      }
      if (this.#stats.get(record.host)?.targetId !== target.id) {
        this.#stats.set(record.host, {
          targetId: target.id, load: undefined, loadAt: now, inFlight: 0, avoidUntil: -Infinity, busyUntil: -Infinity, limitedUntil: -Infinity, fullQueues: [], coldUntil: now + target.coldMs
        })
      }
    }
    for (const host of this.#stats.keys()) if (!hosts.has(host)) this.#stats.delete(host)
    this.#heardLimits.retain(records, now)
    this.#subsets.clear()
    for (const [service, list] of this.#byService) this.#subsets.set(service, targetSubset(list, { host: this.#host, dataCentre: this.#dataCentre }))
  }

  /** Returns the eligible targets for a request, best first; a `preferred` host is ranked first, also if it is outside of the subset. */
  rank (service: string, request: RequestTraits, isEligible: (record: HostRecord) => boolean, preferred?: string): Candidate[] {
    const now = this.#timers.now()
    const all = this.#byService.get(service) ?? []
    const subset = this.#subsets.get(service) ?? []
    const means = this.#costs.means(subset, this.#stats, now)
    let eligible = subset.filter(isEligible)
    if (eligible.length === 0) eligible = all.filter(isEligible)
    const isPreferredMissing = preferred !== undefined && !eligible.some(({ host }) => host === preferred)
    if (isPreferredMissing) eligible.push(...all.filter((record) => record.host === preferred && isEligible(record)))
    const candidates = eligible.map((record) => this.#costs.estimate(record, this.#stats.get(record.host)!, request, means, now))
    return candidates.sort((a, b) => Number(b.host === preferred) - Number(a.host === preferred) || a.costMs - b.costMs)
  }

  /**
   * The one eligible target for a request that must not run on several targets at a time: all daemons choose the same by rendezvous
   * hashing of `key`, as far as they know the same targets. Empty if there is none.
   */
  designated (service: string, request: RequestTraits, isEligible: (record: HostRecord) => boolean, key: string): Candidate[] {
    let chosen: HostRecord | undefined
    let highestScore = -1
    for (const record of this.#byService.get(service) ?? []) {
      const score = isEligible(record) ? rendezvousScore(key, record.host) : -1
      if (score <= highestScore) continue
      highestScore = score
      chosen = record
    }
    const now = this.#timers.now()
    return chosen ? [this.#costs.estimate(chosen, this.#stats.get(chosen.host)!, request, this.#costs.means([], this.#stats, now), now)] : []
  }

  /**
   * Share of the requests more urgent than `priority` that the service currently rejects, averaged over its targets
   * that have reported their load.
   */
  rejectionRate (service: string, priority: number): number {
    const now = this.#timers.now()
    let sum = 0
    let reports = 0
    for (const { host } of this.#byService.get(service) ?? []) {
      const { load, loadAt } = this.#stats.get(host)!
      if (!load) continue
      reports++
      if (load.pressedPriority === undefined || load.pressedPriority >= priority) continue
      sum += (load.pressedShare ?? 0) * freshnessAt(now - loadAt)
    }
    return reports > 0 ? sum / reports : 0
  }

  /** What is known now of the target of a host, which ranks it; undefined for a host without a target that is ready. */
  figures (host: string): TargetFigures | undefined {
    const stats = this.#stats.get(host)
    if (!stats) return undefined
    const now = this.#timers.now()
    const msUntil = (at: number): number => Math.max(0, Math.round(at - now))
    const { load, loadAt, inFlight, avoidUntil, busyUntil, limitedUntil, coldUntil } = stats
    return {
      ...load && { load, loadAgeMs: Math.round(now - loadAt) },
      inFlight,
      avoidMs: msUntil(avoidUntil),
      busyMs: msUntil(busyUntil),
      limitedMs: msUntil(limitedUntil),
      coldMs: msUntil(coldUntil)
    }
  }

  /** Share of the slots of a service in use, by the loads that its targets have reported lately. */
  utilisation (service: string): number {
    return this.#costs.means(this.#subsets.get(service) ?? [], this.#stats, this.#timers.now()).utilisation
  }

  /** Counts a call that is now in flight to the target. */
  recordOffer (host: string): void {
    const stats = this.#stats.get(host)
    if (stats) stats.inFlight++
  }

  /** Counts the end of a call, and stores the load that its reply carried. */
  recordReply (host: string, load: TargetLoad | undefined): void {
    if (load?.limitPerS !== undefined) this.#heardLimits.record(load.targetId, load.limitPerS)
    const stats = this.#stats.get(host)
    if (!stats) return
    stats.inFlight = Math.max(0, stats.inFlight - 1)
    if (load && load.targetId === stats.targetId) {
      stats.load = load
      stats.loadAt = this.#timers.now()
      stats.limitedUntil = stats.loadAt + (load.limitedMs ?? 0)
    }
  }

  /** Limit on its requests per second that a target last stated, as far as this daemon has heard. */
  heardLimitPerS (targetId: string): number | undefined {
    return this.#heardLimits.get(targetId)
  }

  /** Milliseconds until the first target of a service takes requests again; 0 if one isn't limited. */
  limitedMs (service: string): number {
    const now = this.#timers.now()
    const waits = (this.#byService.get(service) ?? []).map(({ host }) => Math.max(0, this.#stats.get(host)!.limitedUntil - now))
    return waits.length > 0 ? Math.min(...waits) : 0
  }

  /** Records that the target had no free slot. */
  markBusy (host: string): void {
    const stats = this.#stats.get(host)
    if (stats) stats.busyUntil = this.#timers.now() + BUSY_MS
  }

  /** Records that the queue of the target was too long for a request of this urgency and workspace. */
  markQueueFull (host: string, urgency: number, workspace?: string): void {
    const stats = this.#stats.get(host)
    if (!stats) return
    const now = this.#timers.now()
    const others = stats.fullQueues.filter((full) => now < full.until && (full.urgency !== urgency || full.workspace !== workspace))
    stats.fullQueues = [...others, { urgency, workspace, until: now + QUEUE_FULL_MS }]
  }

  /** Ranks a target behind others for a while, because its daemon did not reply or rejected the request. */
  avoid (host: string, ms = AVOID_MS): void {
    const stats = this.#stats.get(host)
    if (stats) stats.avoidUntil = this.#timers.now() + ms
  }
}
