import { rendezvousScore, type Random, type Timers } from '@lentilwheel/core'
import { availableTarget, type HostRecord } from '../fleet/hostRecord.js'
import type { MeshRoute } from '../routing/meshConfig.js'
import type { TargetLoad } from '../link/messages.js'
import { HeardLimits } from './heardLimits.js'
import { targetSubset } from './targetSubset.js'

/** A target that a request may be offered to, with its estimated cost. */
export interface Candidate {
  readonly host: string
  readonly targetId: string
  readonly version: string
  /** Whether the target is in the data centre of this daemon. */
  readonly isLocal: boolean
  /** Estimated time until the response, including penalties, in milliseconds; lower is better. */
  readonly costMs: number
  /** Whether the target reported within the last `BUSY_MS` that it has no free slot, or takes no more requests for now. */
  readonly isBusy: boolean
  /** Whether it rejected a request of this or a higher urgency within the last `QUEUE_FULL_MS` because its queue was too long. */
  readonly isQueueFull: boolean
}

/** What the ranking of targets needs to know of a request. */
export interface RequestTraits {
  route: MeshRoute
  /** Lower is more urgent. */
  urgency: number
  /** Size of the request body, and the expected size of the response body, in bytes. */
  requestBytes: number
  responseBytes: number
}

/** For how many milliseconds the link of this host is taken, and how many it takes for a KiB. */
export interface OwnLink {
  readonly aheadMs: number
  readonly msPerKib: number
}

const NO_LINK: OwnLink = { aheadMs: 0, msPerKib: 0 }

/** Means over the targets of a service: the fraction of slots in use, and the milliseconds for which the links of the hosts are taken. */
interface ServiceMeans {
  utilisation: number
  linkMs: number
}

/** What this daemon knows of one target, from its replies and its own calls. */
interface TargetStats {
  targetId: string
  load: TargetLoad | undefined
  /** When the load was reported; when the target was first seen if it has reported none. */
  loadAt: number
  /** Number of this daemon's offers to the target that have had no reply yet. */
  inFlight: number
  /** Until when the target gets a penalty of ten target latencies, so that others go first. */
  avoidUntil: number
  /** Until when the target is assumed to have no free slot. */
  busyUntil: number
  /** Until when the target takes no more requests because of the limit that it states. */
  limitedUntil: number
  /** Until when its queue is assumed to be too long, by urgency. */
  queueFullUntil: Map<number, number>
  /** Until when the target is assumed to be slow because it has just started. */
  coldUntil: number
}

/** Pace assumed for a target that has reported none: its latency as a fraction of the target latency. */
const DEFAULT_PACE = 0.4
/** Cost factor of a warm target that this daemon has not used yet, so that it is tried before equal ones. */
const UNUSED_TARGET_FACTOR = 0.3
/** Latency factor of a target that has just started. */
const COLD_LATENCY_FACTOR = 2
/** Assumed round-trip time to another data centre and within the own one. */
const REMOTE_ROUND_TRIP_MS = 3
const LOCAL_ROUND_TRIP_MS = 1
/** Time that running a request in another data centre must save, as a fraction of the target latency. */
const REMOTE_PENALTY = 0.08
/** Further time that it must save for each KiB of the request and the response, which cross data centres. */
const REMOTE_PENALTY_MS_PER_KIB = 8
/**
 * Upper bound on the sum of these two penalties, as a fraction of the target latency: a request goes to another data centre, however
 * large it is, if it is served there sooner by more than this.
 */
const MAX_REMOTE_PENALTY = 0.6
/** Maximum factor that `weightedMs` applies to estimated latency; reached at this multiple of the target latency. */
const MAX_LATENCY_WEIGHT = 1.5
/** Extra cost of a target with all slots in use over an idle one, as a fraction of the target latency. */
const UTILISATION_PENALTY = 0.15
/** Maximum random addition to the cost of a target whose load is unknown, as a fraction of the target latency. */
const UNKNOWN_LOAD_JITTER = 0.3
/** Fraction of slots assumed to be in use where no load is known. */
const DEFAULT_UTILISATION = 0.3
/** Cost of a failed request, as a multiple of the target latency. */
const FAILURE_COST = 2
const BYTES_PER_KIB = 1_024
/** Answers that take the link for less go before longer ones and don't wait for them. */
const LONG_ANSWER_MS = 10
/** Half-life of the weight of a reported load. */
const LOAD_HALF_LIFE_MS = 400
/** Half-life of a reported pace and failure rate, so that a target that has recovered is tried again. */
const HEALTH_HALF_LIFE_MS = 4_000
/** Weight of `DEFAULT_UTILISATION` among the reported utilisations; a report just received has weight 1. */
const DEFAULT_UTILISATION_WEIGHT = 0.05
/** Width of the random factor on estimated latency, so that daemons with the same view don't all choose the same target. */
const JITTER = 0.25
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
  readonly #random: Random
  readonly #dataCentre: string
  readonly #host: string
  readonly #link: OwnLink
  readonly #stats = new Map<string, TargetStats>()
  /** Hosts with a target that is ready, by service. */
  readonly #byService = new Map<string, HostRecord[]>()
  readonly #heardLimits = new HeardLimits()
  /** The subset of these hosts that requests normally go to; the others are used only if none of the subset is eligible. */
  readonly #subsets = new Map<string, HostRecord[]>()

  /** `host`: this daemon's own host, which determines the remote targets of its subset; `link`: that of this host, unlimited by default. */
  constructor (opts: { timers: Pick<Timers, 'now'>, random: Random, dataCentre: string, host?: string, link?: OwnLink }) {
    this.#link = opts.link ?? NO_LINK
    this.#timers = opts.timers
    this.#random = opts.random
    this.#dataCentre = opts.dataCentre
    this.#host = opts.host ?? ''
  }

  /** Replaces the known hosts; those whose target is not ready or whose daemon is stopping are ignored. */
  setHosts (records: readonly HostRecord[]): void {
    this.#byService.clear()
    const now = this.#timers.now()
    const hosts = new Set<string>()
    for (const record of records) {
      const target = availableTarget(record)
      if (!target) continue
      hosts.add(record.host)
      const list = this.#byService.get(target.service)
      if (list) list.push(record)
      else this.#byService.set(target.service, [record])
      if (this.#stats.get(record.host)?.targetId !== target.id) {
        this.#stats.set(record.host, {
          targetId: target.id, load: undefined, loadAt: now, inFlight: 0, avoidUntil: -Infinity, busyUntil: -Infinity, limitedUntil: -Infinity, queueFullUntil: new Map(), coldUntil: now + target.coldMs
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
    const means = this.#means(subset, now)
    let eligible = subset.filter(isEligible)
    if (eligible.length === 0) eligible = all.filter(isEligible)
    const isPreferredMissing = preferred !== undefined && !eligible.some(({ host }) => host === preferred)
    if (isPreferredMissing) eligible.push(...all.filter((record) => record.host === preferred && isEligible(record)))
    const candidates = eligible.map((record) => this.#estimate(record, request, means, now))
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
    return chosen ? [this.#estimate(chosen, request, { utilisation: DEFAULT_UTILISATION, linkMs: 0 }, now)] : []
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
      sum += (load.pressedShare ?? 0) * 0.5 ** ((now - loadAt) / LOAD_HALF_LIFE_MS)
    }
    return reports > 0 ? sum / reports : 0
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

  /** Records that the queue of the target was too long for a request of this urgency. */
  markQueueFull (host: string, urgency: number): void {
    this.#stats.get(host)?.queueFullUntil.set(urgency, this.#timers.now() + QUEUE_FULL_MS)
  }

  /** Ranks a target behind others for a while, because its daemon did not reply or rejected the request. */
  avoid (host: string, ms = AVOID_MS): void {
    const stats = this.#stats.get(host)
    if (stats) stats.avoidUntil = this.#timers.now() + ms
  }

  /** Means over the reported loads, weighted by their freshness. */
  #means (records: readonly HostRecord[], now: number): ServiceMeans {
    let sum = DEFAULT_UTILISATION * DEFAULT_UTILISATION_WEIGHT
    let linkSumMs = 0
    let weight = DEFAULT_UTILISATION_WEIGHT
    for (const { host } of records) {
      const { load, loadAt } = this.#stats.get(host)!
      if (!load) continue
      const freshness = freshnessAt(now - loadAt)
      sum += freshness * Math.min(1, load.running / load.slots)
      linkSumMs += freshness * (load.linkMs ?? 0)
      weight += freshness
    }
    return { utilisation: sum / weight, linkMs: linkSumMs / weight }
  }

  /** Time to pass on the answer of another host over the own link; the answer of the target beside this daemon takes that link once. */
  #passOnMs (responseBytes: number): number {
    const { aheadMs, msPerKib } = this.#link
    const answerMs = msPerKib * responseBytes / BYTES_PER_KIB
    return answerMs > LONG_ANSWER_MS ? aheadMs + answerMs : answerMs
  }

  #estimate (record: HostRecord, { route, urgency, requestBytes, responseBytes }: RequestTraits, means: ServiceMeans, now: number): Candidate {
    const target = record.target!
    const latencyMs = route.targetLatencyMs
    const stats = this.#stats.get(record.host)!
    const { load } = stats
    const slots = load?.slots ?? target.slots
    const ageMs = now - stats.loadAt
    const freshness = load ? freshnessAt(ageMs) : 0
    const occupied = Math.max(stats.inFlight, freshness * ((load?.running ?? 0) + (load?.queued ?? 0)) + (1 - freshness) * means.utilisation * slots)
    const coldFactor = now < stats.coldUntil ? COLD_LATENCY_FACTOR : 1
    const healthWeight = 0.5 ** (ageMs / HEALTH_HALF_LIFE_MS)
    const pace = load ? DEFAULT_PACE + (load.pace - DEFAULT_PACE) * healthWeight : DEFAULT_PACE
    const serviceMs = pace * coldFactor * latencyMs
    const answerMs = (load?.linkMsPerKib ?? 0) * responseBytes / BYTES_PER_KIB
    const linkMs = answerMs > LONG_ANSWER_MS ? freshness * (load?.linkMs ?? 0) + (1 - freshness) * means.linkMs : 0
    const passOnMs = record.host === this.#host ? 0 : this.#passOnMs(responseBytes)
    const runMs = Math.max(serviceMs, linkMs) + answerMs + passOnMs
    const slotWaitMs = occupied >= slots ? (occupied - slots + 1) / slots * serviceMs : 0
    const limitedMs = Math.max(0, stats.limitedUntil - now)
    const waitMs = Math.max(slotWaitMs, limitedMs)
    const utilisationMs = UTILISATION_PENALTY * Math.min(1, occupied / slots) * latencyMs
    const failureMs = (load?.failing ?? 0) * healthWeight * FAILURE_COST * latencyMs
    const avoidMs = now < stats.avoidUntil ? 10 * latencyMs : 0
    const isLocal = record.dataCentre === this.#dataCentre
    const networkMs = isLocal ? LOCAL_ROUND_TRIP_MS : remoteCostMs(requestBytes + responseBytes, latencyMs)
    const isUnused = !load && stats.inFlight === 0 && now >= stats.coldUntil
    const jitterMs = (1 - freshness) * UNKNOWN_LOAD_JITTER * latencyMs * this.#random.next()
    const targetMs = weightedMs(waitMs + runMs, latencyMs) * (1 + JITTER * (this.#random.next() - 0.5)) + utilisationMs + failureMs + jitterMs
    return {
      host: record.host,
      targetId: target.id,
      version: target.version,
      isLocal,
      costMs: (targetMs + networkMs) * (isUnused ? UNUSED_TARGET_FACTOR : 1) + avoidMs,
      isBusy: now < stats.busyUntil || limitedMs > 0,
      isQueueFull: isQueueFullFor(stats, urgency, now)
    }
  }
}

/** Weight of a reported load, from 1 when new towards 0. */
function freshnessAt (ageMs: number): number {
  return 0.5 ** (ageMs / LOAD_HALF_LIFE_MS)
}

/** Cost of running a request in another data centre: the round trip, and the penalties for the distance and the bytes. */
function remoteCostMs (bytes: number, targetLatencyMs: number): number {
  const penaltyMs = REMOTE_PENALTY * targetLatencyMs + REMOTE_PENALTY_MS_PER_KIB * bytes / BYTES_PER_KIB
  return REMOTE_ROUND_TRIP_MS + Math.min(penaltyMs, MAX_REMOTE_PENALTY * targetLatencyMs)
}

/**
 * Multiplies estimated latency by its ratio to the target latency, because differences between responses that are well
 * in time hardly matter.
 */
function weightedMs (ms: number, targetLatencyMs: number): number {
  return ms * Math.min(MAX_LATENCY_WEIGHT, ms / targetLatencyMs)
}

/** Whether the queue is too long for this urgency: a queue that is too long for an urgent request is so for a less urgent one. */
function isQueueFullFor (stats: TargetStats, urgency: number, now: number): boolean {
  for (const [other, until] of stats.queueFullUntil) if (other <= urgency && now < until) return true
  return false
}
