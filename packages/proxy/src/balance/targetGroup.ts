import type { Random } from '@lentilwheel/core'
import type { TargetState } from './targetState.js'

/** Share of the local slots in use from which calls may go to other data centres, before the local targets are full. */
const SPILLOVER_UTILISATION = 0.75
/** Factor on the score of a target in another data centre. */
const REMOTE_SCORE_FACTOR = 2
/** Latency assumed while no target has a measured one. */
const DEFAULT_LATENCY_MS = 1

/**
 * Load balancer over the targets of one version of a service: takes the better of two random targets by latency and
 * calls in flight, and prefers the own data centre until it is busy.
 */
export class TargetGroup<T extends TargetState = TargetState> {
  readonly targets: readonly T[]
  readonly #isLocal: (target: T) => boolean
  readonly #random: Random
  #local: readonly T[] = []
  #remote: readonly T[] = []
  #localCapacity = 0
  /** Median of the targets' latencies; stands in for the latency of a target that has none yet. */
  medianLatencyMs = DEFAULT_LATENCY_MS

  constructor (targets: readonly T[], isLocal: (target: T) => boolean, random: Random, now: number) {
    this.targets = targets
    this.#random = random
    this.#isLocal = isLocal
    this.refresh(now)
  }

  /** Updates the lists of usable targets and the median latency; ejected targets are used only if all are ejected. */
  refresh (now: number): void {
    const notEjected = this.targets.filter((target) => !target.isEjected(now))
    const usable = notEjected.length > 0 ? notEjected : this.targets
    this.#local = usable.filter(this.#isLocal)
    this.#remote = usable.filter((target) => !this.#isLocal(target))
    this.#localCapacity = this.#local.reduce((sum, target) => sum + target.concurrencyLimit, 0)
    this.medianLatencyMs = medianLatency(usable)
  }

  /** The target for the next attempt, or undefined when every usable one is full or was tried. */
  choose (tried: readonly TargetState[]): T | undefined {
    const local = this.#chooseFrom(this.#local, tried)
    if (this.#remote.length === 0 || (local && !this.#isLocalBusy())) return local
    const remote = this.#chooseFrom(this.#remote, tried)
    if (!local || !remote) return local ?? remote
    return remote.score(this.medianLatencyMs) * REMOTE_SCORE_FACTOR < local.score(this.medianLatencyMs) ? remote : local
  }

  /** Calls that this daemon may have in flight on all targets together. */
  get capacity (): number {
    return this.targets.reduce((sum, target) => sum + target.concurrencyLimit, 0)
  }

  #isLocalBusy (): boolean {
    let inFlight = 0
    for (const target of this.#local) inFlight += target.inFlight
    return inFlight >= this.#localCapacity * SPILLOVER_UTILISATION
  }

  #chooseFrom (targets: readonly T[], tried: readonly TargetState[]): T | undefined {
    if (targets.length === 0) return undefined
    if (targets.length === 1) return this.#isEligible(targets[0]!, tried) ? targets[0] : undefined
    const first = this.#random.int(targets.length)
    const other = (first + 1 + this.#random.int(targets.length - 1)) % targets.length
    const a = this.#draw(targets, first)
    const b = this.#draw(targets, other)
    const isAEligible = this.#isEligible(a, tried)
    const isBEligible = this.#isEligible(b, tried)
    if (isAEligible && isBEligible) return a.score(this.medianLatencyMs) <= b.score(this.medianLatencyMs) ? a : b
    if (isAEligible || isBEligible) return isAEligible ? a : b
    return this.#chooseBest(targets, tried)
  }

  /** The target at an index; one in slow start is replaced by another draw, except with the probability of its weight. */
  #draw (targets: readonly T[], index: number): T {
    const target = targets[index]!
    if (target.slowStartWeight >= 1 || this.#random.next() < target.slowStartWeight) return target
    return targets[this.#random.int(targets.length)]!
  }

  #isEligible (target: T, tried: readonly TargetState[]): boolean {
    return target.hasCapacity() && !tried.includes(target)
  }

  /** Searches all targets, for when neither of the two random ones is eligible. */
  #chooseBest (targets: readonly T[], tried: readonly TargetState[]): T | undefined {
    let best: T | undefined
    for (const target of targets) {
      if (!this.#isEligible(target, tried)) continue
      if (!best || target.score(this.medianLatencyMs) < best.score(this.medianLatencyMs)) best = target
    }
    return best
  }
}

function medianLatency (targets: readonly TargetState[]): number {
  const known = targets.map((target) => target.latencyMs).filter((ms) => ms > 0).sort((a, b) => a - b)
  return known[known.length >> 1] ?? DEFAULT_LATENCY_MS
}
