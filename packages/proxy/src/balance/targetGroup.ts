import type { Random } from '@lentilwheel/core'
import type { TargetState } from './targetState.js'

/** Use of its slots from which the own data centre shares work with others, before it is overloaded. */
const SPILL_UTILISATION = 0.75
/** Factor on the score of a target in another data centre. */
const REMOTE_PENALTY = 2
/** Latency assumed before anything was observed. */
const UNKNOWN_LATENCY_MS = 1

/** The usable targets of one version of a service, as seen from this daemon. */
export class TargetGroup<T extends TargetState = TargetState> {
  readonly all: readonly T[]
  readonly #isLocal: (target: T) => boolean
  readonly #random: Random
  #local: readonly T[] = []
  #remote: readonly T[] = []
  #localSlots = 0
  typicalMs = UNKNOWN_LATENCY_MS

  constructor (targets: readonly T[], isLocal: (target: T) => boolean, random: Random, now: number) {
    this.all = targets
    this.#random = random
    this.#isLocal = isLocal
    this.refresh(now)
  }

  /** Brings the lists of usable targets up to date; ejected ones stay out unless nothing else is left. */
  refresh (now: number): void {
    const open = this.all.filter((target) => !target.ejected(now))
    const usable = open.length > 0 ? open : this.all
    this.#local = usable.filter(this.#isLocal)
    this.#remote = usable.filter((target) => !this.#isLocal(target))
    this.#localSlots = this.#local.reduce((sum, target) => sum + target.limit, 0)
    this.typicalMs = medianLatency(usable)
  }

  /** The target for the next attempt, or undefined when every usable one is full. */
  choose (tried: readonly TargetState[]): T | undefined {
    const local = this.#choosePart(this.#local, tried)
    if (this.#remote.length === 0 || (local && !this.#localIsBusy())) return local
    const remote = this.#choosePart(this.#remote, tried)
    if (!local || !remote) return local ?? remote
    return remote.score(this.typicalMs) * REMOTE_PENALTY < local.score(this.typicalMs) ? remote : local
  }

  get slots (): number {
    return this.all.reduce((sum, target) => sum + target.limit, 0)
  }

  #localIsBusy (): boolean {
    let inFlight = 0
    for (const target of this.#local) inFlight += target.inFlight
    return inFlight >= this.#localSlots * SPILL_UTILISATION
  }

  #choosePart (targets: readonly T[], tried: readonly TargetState[]): T | undefined {
    if (targets.length === 0) return undefined
    if (targets.length === 1) return this.#usable(targets[0]!, tried) ? targets[0] : undefined
    const first = this.#random.int(targets.length)
    const other = (first + 1 + this.#random.int(targets.length - 1)) % targets.length
    const a = this.#warmed(targets, first)
    const b = this.#warmed(targets, other)
    const aUsable = this.#usable(a, tried)
    const bUsable = this.#usable(b, tried)
    if (aUsable && bUsable) return a.score(this.typicalMs) <= b.score(this.typicalMs) ? a : b
    if (aUsable || bUsable) return aUsable ? a : b
    return this.#scan(targets, tried)
  }

  /** The target at an index; a cold one gives way to another draw except for its weight. */
  #warmed (targets: readonly T[], index: number): T {
    const target = targets[index]!
    if (target.weight >= 1 || this.#random.next() < target.weight) return target
    return targets[this.#random.int(targets.length)]!
  }

  #usable (target: T, tried: readonly TargetState[]): boolean {
    return target.hasRoom() && !tried.includes(target)
  }

  #scan (targets: readonly T[], tried: readonly TargetState[]): T | undefined {
    let best: T | undefined
    for (const target of targets) {
      if (!this.#usable(target, tried)) continue
      if (!best || target.score(this.typicalMs) < best.score(this.typicalMs)) best = target
    }
    return best
  }
}

function medianLatency (targets: readonly TargetState[]): number {
  const known = targets.map((target) => target.latencyMs).filter((ms) => ms > 0).sort((a, b) => a - b)
  return known[known.length >> 1] ?? UNKNOWN_LATENCY_MS
}
