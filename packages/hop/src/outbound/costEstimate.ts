import type { Random } from '@lentilwheel/core'
import type { HostRecord } from '../fleet/hostRecord.js'
import type { TargetLoad } from '../link/messages.js'
import { BYTES_PER_KIB } from '../link/sendQueue.js'
import type { MeshRoute } from '../routing/meshConfig.js'

/** A target that a request may be offered to, with its estimated cost. */
export interface Candidate {
  readonly host: string
  readonly targetId: string
  readonly version: string
  /** Whether the target is in the data centre of this daemon. */
  readonly isLocal: boolean
  /** Estimated time until the response, including penalties, in milliseconds; lower is better. */
  readonly costMs: number
  /** Estimated time at the target and on the links that the response takes, without penalties and the wait for a slot, in milliseconds. */
  readonly runMs: number
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
  /** Workspace of the caller; absent if it has none, and for nested calls. */
  workspace?: string | undefined
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

/** Means over the targets of a service. */
export interface ServiceMeans {
  /** Fraction of slots in use. */
  utilisation: number
  /** Milliseconds for which the links of the hosts are taken. */
  linkMs: number
  /** Slowdown of the targets that report one; 1 for as usual. */
  slowdown: number
}

/** The queue of a target was too long for a request. */
export interface FullQueue {
  urgency: number
  /** Workspace of the request; targets share their slots fairly, so the queue may be short for others. */
  workspace: string | undefined
  until: number
}

/** What this daemon knows of one target, from its replies and its own calls. */
export interface TargetStats {
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
  /** Requests that it recently rejected because its queue was too long. */
  fullQueues: FullQueue[]
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
/**
 * Extra cost of a target that reports its slowdown and is probably full when the request arrives, as a fraction of the target
 * latency: its pace may change while the request waits, so the estimated wait is unreliable. The exponent keeps the cost near 0
 * while several slots are free.
 */
const FULL_PENALTY = 1
const FULL_PENALTY_EXPONENT = 6
/** Maximum random addition to the cost of a target whose load is unknown, as a fraction of the target latency. */
const UNKNOWN_LOAD_JITTER = 0.3
/** Fraction of slots assumed to be in use where no load is known. */
const DEFAULT_UTILISATION = 0.3
/** Cost of a failed request, as a multiple of the target latency. */
const FAILURE_COST = 2
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

/** Estimates the time until the response for each target that a request may be offered to. */
export class CostEstimator {
  readonly #random: Random
  readonly #dataCentre: string
  readonly #host: string
  readonly #link: OwnLink

  /** `host`, `dataCentre`: those of this daemon; `link`: that of its host. */
  constructor (opts: { random: Random, dataCentre: string, host: string, link?: OwnLink | undefined }) {
    this.#random = opts.random
    this.#dataCentre = opts.dataCentre
    this.#host = opts.host
    this.#link = opts.link ?? NO_LINK
  }

  /** Means over the reported loads, weighted by their freshness. */
  means (hosts: readonly HostRecord[], stats: ReadonlyMap<string, TargetStats>, now: number): ServiceMeans {
    let sum = DEFAULT_UTILISATION * DEFAULT_UTILISATION_WEIGHT
    let linkSumMs = 0
    let slowdownSum = DEFAULT_UTILISATION_WEIGHT
    let weight = DEFAULT_UTILISATION_WEIGHT
    for (const { host } of hosts) {
      const { load, loadAt } = stats.get(host)!
      if (!load) continue
      const freshness = freshnessAt(now - loadAt)
      sum += freshness * Math.min(1, load.running / load.slots)
      linkSumMs += freshness * (load.linkMs ?? 0)
      slowdownSum += freshness * (load.slowdown ?? 1)
      weight += freshness
    }
    return { utilisation: sum / weight, linkMs: linkSumMs / weight, slowdown: slowdownSum / weight }
  }

  /** Time to pass on the answer of another host over the own link; the answer of the target beside this daemon takes that link once. */
  #passOnMs (responseBytes: number): number {
    const answerMs = this.#link.msPerKib * responseBytes / BYTES_PER_KIB
    return answerMs > LONG_ANSWER_MS ? this.#link.aheadMs + answerMs : answerMs
  }

  /** `stats`: what is known of the target of the record. */
  estimate (record: HostRecord, stats: TargetStats, { route, urgency, workspace, requestBytes, responseBytes }: RequestTraits, means: ServiceMeans, now: number): Candidate {
    const target = record.target!
    const latencyMs = route.targetLatencyMs
    const { load } = stats
    const slots = load?.slots ?? target.slots
    const ageMs = now - stats.loadAt
    const freshness = load ? freshnessAt(ageMs) : 0
    const occupied = Math.max(stats.inFlight, freshness * ((load?.running ?? 0) + (load?.queued ?? 0)) + (1 - freshness) * means.utilisation * slots)
    const coldFactor = now < stats.coldUntil ? COLD_LATENCY_FACTOR : 1
    const healthWeight = 0.5 ** (ageMs / HEALTH_HALF_LIFE_MS)
    const pace = load ? DEFAULT_PACE + (load.pace - DEFAULT_PACE) * healthWeight : DEFAULT_PACE
    const slowdown = load?.slowdown === undefined ? 1 : freshness * load.slowdown + (1 - freshness) * means.slowdown
    const serviceMs = pace * slowdown * coldFactor * latencyMs
    const answerMs = (load?.linkMsPerKib ?? 0) * responseBytes / BYTES_PER_KIB
    const linkMs = answerMs > LONG_ANSWER_MS ? freshness * (load?.linkMs ?? 0) + (1 - freshness) * means.linkMs : 0
    const passOnMs = record.host === this.#host ? 0 : this.#passOnMs(responseBytes)
    const runMs = Math.max(serviceMs, linkMs) + answerMs + passOnMs
    const slotWaitMs = occupied >= slots ? (occupied - slots + 1) / slots * serviceMs : 0
    const limitedMs = Math.max(0, stats.limitedUntil - now)
    const waitMs = Math.max(slotWaitMs, limitedMs)
    const utilisation = Math.min(1, occupied / slots)
    const utilisationMs = UTILISATION_PENALTY * utilisation * latencyMs
    const fullMs = load?.slowdown === undefined ? 0 : FULL_PENALTY * utilisation ** FULL_PENALTY_EXPONENT * latencyMs
    const failureMs = (load?.failing ?? 0) * healthWeight * FAILURE_COST * latencyMs
    const avoidMs = now < stats.avoidUntil ? 10 * latencyMs : 0
    const isLocal = record.dataCentre === this.#dataCentre
    const networkMs = isLocal ? LOCAL_ROUND_TRIP_MS : remoteCostMs(requestBytes + responseBytes, latencyMs)
    const isUnused = !load && stats.inFlight === 0 && now >= stats.coldUntil
    const jitterMs = (1 - freshness) * UNKNOWN_LOAD_JITTER * latencyMs * this.#random.next()
    const targetMs = weightedMs(waitMs + runMs, latencyMs) * (1 + JITTER * (this.#random.next() - 0.5)) + utilisationMs + fullMs + failureMs + jitterMs
    return {
      host: record.host,
      targetId: target.id,
      version: target.version,
      isLocal,
      costMs: (targetMs + networkMs) * (isUnused ? UNUSED_TARGET_FACTOR : 1) + avoidMs,
      runMs,
      isBusy: now < stats.busyUntil || limitedMs > 0,
      isQueueFull: isQueueFullFor(stats, urgency, workspace, now)
    }
  }
}

/** Weight of a reported load, from 1 when new towards 0. */
export function freshnessAt (ageMs: number): number {
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

/**
 * Whether the queue is too long for a request of this urgency and workspace: a queue that is too long for an urgent request is so
 * for a less urgent one.
 */
function isQueueFullFor ({ fullQueues }: TargetStats, urgency: number, workspace: string | undefined, now: number): boolean {
  return fullQueues.some((full) => full.urgency <= urgency && full.workspace === workspace && now < full.until)
}
