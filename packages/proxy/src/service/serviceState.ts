import { groupBy, type EndpointView, type Random } from '@lentilwheel/core'
import type { Service } from '@lentilwheel/config'
import { ejectOutliers } from '../balance/ejection.js'
import { chooseSubset, type SubsetQuestion } from '../balance/subset.js'
import { TargetGroup } from '../balance/targetGroup.js'
import type { TargetState } from '../balance/targetState.js'
import { DeadlineQueue, expectedWaitMs, type Waiting } from '../limits/deadlineQueue.js'
import { RetryBudget } from '../limits/retryBudget.js'
import { sameItems } from '../utils.js'

/** Smoothing of the run time, about the last 20 calls. */
const RUN_ALPHA = 0.05

/** A call that waits for a target with room. */
export interface WaitingCall<T> extends Waiting {
  begin (target: T): void
  /** Its version has no targets any more. */
  readmit (): void
}

interface VersionPool<T extends TargetState> {
  group: TargetGroup<T>
  queue: DeadlineQueue<WaitingCall<T>>
}

export interface ServiceStateOptions<T extends TargetState> {
  daemon: string
  dataCentre: string
  random: Random
  makeTarget (view: EndpointView, now: number, warm: boolean): T
  /** Called when a target is no longer used; work in flight on it goes on. */
  retireTarget (target: T): void
}

/** Targets, queue and retry budget of one service. */
export class ServiceState<T extends TargetState> {
  readonly budget: RetryBudget
  readonly #opts: ServiceStateOptions<T>
  readonly #targets = new Map<string, T>()
  #pools = new Map<string, VersionPool<T>>()
  #service: Service
  #waiting = 0
  /** Smoothed time for which a call holds a slot. */
  #endpoints: readonly EndpointView[] = []
  #callers = 0
  #runMs = 1

  constructor (service: Service, opts: ServiceStateOptions<T>) {
    this.#service = service
    this.#opts = opts
    this.budget = new RetryBudget(service.retryBudget)
  }

  get targets (): Iterable<T> {
    return this.#targets.values()
  }

  get waiting (): number {
    return this.#waiting
  }

  configure (service: Service): void {
    this.#service = service
    this.budget.setShare(service.retryBudget)
  }

  hasTargets (version: string): boolean {
    return this.#pools.has(version)
  }

  /** A target with room for another attempt; one that was tried already only when there is no other. */
  choose (version: string, tried: readonly TargetState[]): T | undefined {
    const group = this.#pools.get(version)?.group
    const found = group?.choose(tried)
    if (found || tried.length === 0 || !group) return found
    return group.choose([])
  }

  /** Lets a call wait for room, unless it couldn't be run by its deadline. */
  enqueue (version: string, call: WaitingCall<T>, now: number): boolean {
    const pool = this.#pools.get(version)
    if (!pool || this.#waiting >= this.#service.queue) return false
    if (expectedWaitMs(pool.queue.size, pool.group.slots, this.#runMs) > call.deadline - now) return false
    this.#waiting++
    pool.queue.push(call)
    return true
  }

  /** Takes a call out that gave up waiting. */
  abandon (version: string, call: WaitingCall<T>): void {
    if (call.queueIndex < 0) return
    this.#pools.get(version)?.queue.remove(call)
    this.#waiting--
  }

  /** Gives a slot back and starts a waiting call on it. */
  release (target: T, heldMs: number): void {
    target.inFlight--
    this.#runMs += (heldMs - this.#runMs) * RUN_ALPHA
    if (this.#waiting > 0) this.#startWaiting(target.view.version)
  }

  /**
   * Takes over the announced endpoints of this service. Unchanged endpoints are the same objects, so that a change of one
   * target costs little for all other services.
   */
  update (endpoints: readonly EndpointView[], callers: number, now: number): void {
    if (callers === this.#callers && sameItems(endpoints, this.#endpoints)) return
    this.#callers = callers
    this.#endpoints = endpoints
    const warm = this.#targets.size === 0
    const usable = endpoints.filter((endpoint) => endpoint.state === 'ready' || endpoint.state === 'starting')
    const seen = new Set<string>()
    const locals = new Set<T>()
    const byVersion = groupBy(usable, (endpoint) => endpoint.version)
    const groups = new Map<string, T[]>()
    for (const [version, part] of byVersion) {
      const question: SubsetQuestion = {
        daemon: this.#opts.daemon, dataCentre: this.#opts.dataCentre, callers, endpoints: part
      }
      groups.set(version, chooseSubset(question).map(({ endpoint, local, connections }) => {
        const target = this.#keep(endpoint, connections, now, warm)
        if (local) locals.add(target)
        seen.add(targetKey(endpoint))
        return target
      }))
    }
    this.#retireAllBut(seen)
    this.#rebuildPools(groups, locals, now)
  }

  /** Periodic upkeep; returns the targets ejected now. */
  tick (now: number, periodMs: number): T[] {
    const ejected: T[] = []
    for (const [version, { group }] of this.#pools) {
      for (const target of group.all) target.tick(now, periodMs, group.typicalMs)
      ejected.push(...ejectOutliers(group.all, now) as T[])
      group.refresh(now)
      this.#startWaiting(version)
    }
    return ejected
  }

  #keep (endpoint: EndpointView, connections: number, now: number, warm: boolean): T {
    const key = targetKey(endpoint)
    let target = this.#targets.get(key)
    if (!target) {
      target = this.#opts.makeTarget(endpoint, now, warm)
      this.#targets.set(key, target)
    }
    target.update(endpoint, connections, now)
    return target
  }

  #retireAllBut (seen: ReadonlySet<string>): void {
    for (const [key, target] of this.#targets) {
      if (seen.has(key)) continue
      this.#targets.delete(key)
      this.#opts.retireTarget(target)
    }
  }

  #rebuildPools (groups: ReadonlyMap<string, T[]>, locals: ReadonlySet<T>, now: number): void {
    const before = this.#pools
    this.#pools = new Map()
    for (const [version, targets] of groups) {
      const group = new TargetGroup(targets, (target) => locals.has(target), this.#opts.random, now)
      const queue = before.get(version)?.queue ?? new DeadlineQueue<WaitingCall<T>>()
      this.#pools.set(version, { group, queue })
    }
    for (const [version, { queue }] of before) {
      if (!groups.has(version)) this.#readmitAll(queue)
      else this.#startWaiting(version)
    }
  }

  #readmitAll (queue: DeadlineQueue<WaitingCall<T>>): void {
    for (let call = queue.pop(); call; call = queue.pop()) {
      this.#waiting--
      call.readmit()
    }
  }

  #startWaiting (version: string): void {
    const pool = this.#pools.get(version)
    if (!pool) return
    while (pool.queue.size > 0) {
      const target = pool.group.choose([])
      if (!target) return
      this.#waiting--
      pool.queue.pop()!.begin(target)
    }
  }
}

/** A target that comes back at another address or with another version is another target. */
function targetKey (endpoint: EndpointView): string {
  return `${endpoint.id} ${endpoint.version} ${endpoint.address}:${endpoint.port}`
}
