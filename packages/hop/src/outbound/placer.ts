import type { Random, Timers } from '@lentilwheel/core'
import type { HostRecord } from '../fleet/records.js'
import type { MeshRoute } from '../routing/meshConfig.js'
import type { TargetLoad } from '../link/messages.js'
import { targetSubset } from './targetSubset.js'

/** A target that a request may be offered to. */
export interface Candidate {
  readonly host: string
  readonly targetId: string
  readonly version: string
  /** Whether it is in the data centre of this daemon. */
  readonly isNear: boolean
  /** Estimated time until the response, in milliseconds. */
  readonly costMs: number
  /** Whether the target said a moment ago that it has no free slot. */
  readonly isBusy: boolean
  /** Whether it said a moment ago that its queue is too long for a request of this urgency. */
  readonly isFull: boolean
}

/** A request as the choice of its target sees it. */
export interface PlacedRequest {
  route: MeshRoute
  urgency: number
  /** Bytes of the request and, as far as can be told, of its response. */
  bytes: number
}

interface Seen {
  targetId: string
  load: TargetLoad | undefined
  loadAt: number
  /** Own calls offered and not answered. */
  pending: number
  /** No offers before this time. */
  avoidUntil: number
  /** Until when the target is taken to have no free slot. */
  busyUntil: number
  /** Until when its queue is taken to be too long, by urgency. */
  fullUntil: Map<number, number>
  /** When the target was first seen, and for how long it stays slow from then on. */
  coldUntil: number
}

/** Part of the target latency that a target of unknown pace takes. */
const UNKNOWN_PACE = 0.4
/** A target that this daemon has not used yet, once it is warm, is tried before equal ones. */
const NEWCOMER_FACTOR = 0.3
/** A target that has just started is this many times slower. */
const COLD_FACTOR = 2
/** Time of a round trip to another data centre and to the own one. */
const OTHER_DATA_CENTRE_MS = 3
const OWN_DATA_CENTRE_MS = 1
/** Time that must be won for a request to be run in another data centre, as a part of the target latency. */
const WAY_PENALTY = 0.08
/** The same for each kilobyte that then crosses data centres, in milliseconds. */
const KILOBYTE_PENALTY_MS = 8
/** What these penalties add up to at most, as a part of the target latency: beyond it a request goes where it is served sooner. */
const MAX_WAY_PENALTY = 0.6
/** What a millisecond counts at most, reached where a response comes late. */
const MAX_WEIGHT = 1.5
/** What a target with all slots taken costs over an idle one, as a part of the target latency. */
const FILL_PENALTY = 0.15
/** Random part of the estimate for a target whose load is not known, as a part of the target latency. */
const UNKNOWN_SPREAD = 0.3
/** Part of the slots that are taken to be in use where no load is known. */
const UNKNOWN_FILL = 0.3
/** What a failed request costs the caller, as a multiple of the target latency. */
const FAILURE_COST = 2
/** A reported load means less the older it is. */
const LOAD_HALF_LIFE_MS = 400
/** Slowness and failures fade without news, so that a target that got well is tried again. */
const MEMORY_HALF_LIFE_MS = 4_000
/** Weight of the fill that is assumed without any news. */
const MIN_TRUST = 0.05
/** Random part of the estimate, so that daemons with the same view don't all choose the same target. */
const SPREAD = 0.25
const AVOID_MS = 400
/** Time for which a target without a free slot isn't asked for one again. */
const BUSY_MS = 25
/** Time for which a target with a long queue isn't asked to queue more of the same urgency or less. */
const FULL_MS = 60

/** Orders the targets of a service by the time that a request would take on each. */
export class Placer {
  readonly #timers: Pick<Timers, 'now'>
  readonly #random: Random
  readonly #dataCentre: string
  readonly #host: string
  readonly #seen = new Map<string, Seen>()
  readonly #byService = new Map<string, HostRecord[]>()
  /** Of those, the ones that are chosen from as long as one of them may get the request. */
  readonly #subsets = new Map<string, HostRecord[]>()

  /** `host`: this daemon's, which decides on the part of the far targets that it uses. */
  constructor (opts: { timers: Pick<Timers, 'now'>, random: Random, dataCentre: string, host?: string }) {
    this.#timers = opts.timers
    this.#random = opts.random
    this.#dataCentre = opts.dataCentre
    this.#host = opts.host ?? ''
  }

  /** Takes in the records of all daemons; those whose target takes no work are left out. */
  setHosts (records: readonly HostRecord[]): void {
    this.#byService.clear()
    const now = this.#timers.now()
    const hosts = new Set<string>()
    for (const record of records) {
      const { target } = record
      if (!target || target.state !== 'ready' || record.stopping) continue
      hosts.add(record.host)
      const list = this.#byService.get(target.service)
      if (list) list.push(record)
      else this.#byService.set(target.service, [record])
      if (this.#seen.get(record.host)?.targetId !== target.id) {
        this.#seen.set(record.host, {
          targetId: target.id, load: undefined, loadAt: now, pending: 0, avoidUntil: -Infinity, busyUntil: -Infinity, fullUntil: new Map(), coldUntil: now + target.coldMs
        })
      }
    }
    for (const host of this.#seen.keys()) if (!hosts.has(host)) this.#seen.delete(host)
    this.#subsets.clear()
    for (const [service, list] of this.#byService) this.#subsets.set(service, targetSubset(list, { host: this.#host, dataCentre: this.#dataCentre }))
  }

  /** Targets for a request, the best first; `preferred` names a host that goes before all others. */
  order (service: string, request: PlacedRequest, accepts: (record: HostRecord) => boolean, preferred?: string): Candidate[] {
    const now = this.#timers.now()
    const all = this.#byService.get(service) ?? []
    const subset = this.#subsets.get(service) ?? []
    const usualFill = this.#usualFill(subset, now)
    let accepted = subset.filter(accepts)
    if (accepted.length === 0) accepted = all.filter(accepts)
    const isMissing = preferred !== undefined && !accepted.some(({ host }) => host === preferred)
    if (isMissing) accepted.push(...all.filter((record) => record.host === preferred && accepts(record)))
    const candidates = accepted.map((record) => this.#estimate(record, request, usualFill, now))
    return candidates.sort((a, b) => Number(b.host === preferred) - Number(a.host === preferred) || a.costMs - b.costMs)
  }

  /** Part of the requests more urgent than `priority` that a service turns away at present. */
  pressure (service: string, priority: number): number {
    const now = this.#timers.now()
    let sum = 0
    let known = 0
    for (const { host } of this.#byService.get(service) ?? []) {
      const { load, loadAt } = this.#seen.get(host)!
      if (!load) continue
      known++
      if (load.pressedPriority === undefined || load.pressedPriority >= priority) continue
      sum += (load.pressedShare ?? 0) * 0.5 ** ((now - loadAt) / LOAD_HALF_LIFE_MS)
    }
    return known > 0 ? sum / known : 0
  }

  offered (host: string): void {
    const seen = this.#seen.get(host)
    if (seen) seen.pending++
  }

  ended (host: string, load: TargetLoad | undefined): void {
    const seen = this.#seen.get(host)
    if (!seen) return
    seen.pending = Math.max(0, seen.pending - 1)
    if (load && load.targetId === seen.targetId) {
      seen.load = load
      seen.loadAt = this.#timers.now()
    }
  }

  /** The target had no free slot. */
  busy (host: string): void {
    const seen = this.#seen.get(host)
    if (seen) seen.busyUntil = this.#timers.now() + BUSY_MS
  }

  /** The queue of the target was too long for a request of this urgency. */
  full (host: string, urgency: number): void {
    this.#seen.get(host)?.fullUntil.set(urgency, this.#timers.now() + FULL_MS)
  }

  /** Leaves a target alone for a moment, as its daemon didn't answer or refused. */
  avoid (host: string, ms = AVOID_MS): void {
    const seen = this.#seen.get(host)
    if (seen) seen.avoidUntil = this.#timers.now() + ms
  }

  /** Part of the slots of a service in use, by the loads known; those heard of last count most. */
  #usualFill (records: readonly HostRecord[], now: number): number {
    let fill = UNKNOWN_FILL * MIN_TRUST
    let weight = MIN_TRUST
    for (const { host } of records) {
      const { load, loadAt } = this.#seen.get(host)!
      if (!load) continue
      const trust = trustAt(now - loadAt)
      fill += trust * Math.min(1, load.running / load.slots)
      weight += trust
    }
    return fill / weight
  }

  #estimate (record: HostRecord, { route, urgency, bytes }: PlacedRequest, usualFill: number, now: number): Candidate {
    const target = record.target!
    const latencyMs = route.targetLatencyMs
    const seen = this.#seen.get(record.host)!
    const { load } = seen
    const slots = load?.slots ?? target.slots
    const age = now - seen.loadAt
    const trust = load ? trustAt(age) : 0
    const busy = Math.max(seen.pending, trust * ((load?.running ?? 0) + (load?.queued ?? 0)) + (1 - trust) * usualFill * slots)
    const cold = now < seen.coldUntil ? COLD_FACTOR : 1
    const memory = 0.5 ** (age / MEMORY_HALF_LIFE_MS)
    const pace = load ? UNKNOWN_PACE + (load.pace - UNKNOWN_PACE) * memory : UNKNOWN_PACE
    const ownMs = pace * cold * latencyMs
    const waitMs = busy >= slots ? (busy - slots + 1) / slots * ownMs : 0
    const fillMs = FILL_PENALTY * Math.min(1, busy / slots) * latencyMs
    const failMs = (load?.failing ?? 0) * memory * FAILURE_COST * latencyMs
    const avoidMs = now < seen.avoidUntil ? 10 * latencyMs : 0
    const isNear = record.dataCentre === this.#dataCentre
    const wayMs = isNear ? OWN_DATA_CENTRE_MS : wayMsOf(bytes, latencyMs)
    const isNewcomer = !load && seen.pending === 0 && now >= seen.coldUntil
    const spreadMs = (1 - trust) * UNKNOWN_SPREAD * latencyMs * this.#random.next()
    const targetMs = feltMs(waitMs + ownMs, latencyMs) * (1 + SPREAD * (this.#random.next() - 0.5)) + fillMs + failMs + spreadMs
    return {
      host: record.host,
      targetId: target.id,
      version: target.version,
      isNear,
      costMs: (targetMs + wayMs) * (isNewcomer ? NEWCOMER_FACTOR : 1) + avoidMs,
      isBusy: now < seen.busyUntil,
      isFull: isFullFor(seen, urgency, now)
    }
  }
}

function trustAt (ageMs: number): number {
  return 0.5 ** (ageMs / LOAD_HALF_LIFE_MS)
}

/** Time that comes on top when a request is run in another data centre, and what its bytes cost there and back. */
function wayMsOf (bytes: number, targetLatencyMs: number): number {
  const penaltyMs = WAY_PENALTY * targetLatencyMs + KILOBYTE_PENALTY_MS * bytes / 1024
  return OTHER_DATA_CENTRE_MS + Math.min(penaltyMs, MAX_WAY_PENALTY * targetLatencyMs)
}

/** A response that surely comes in time need not come sooner, so time counts for more the closer it is to the target latency. */
function feltMs (ms: number, targetLatencyMs: number): number {
  return ms * Math.min(MAX_WEIGHT, ms / targetLatencyMs)
}

/** A queue that is too long for urgent requests is so for less urgent ones. */
function isFullFor (seen: Seen, urgency: number, now: number): boolean {
  for (const [other, until] of seen.fullUntil) if (other <= urgency && now < until) return true
  return false
}
