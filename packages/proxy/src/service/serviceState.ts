import { groupBy, type EndpointView, type Random } from '@lentilwheel/core'
import type { Service } from '@lentilwheel/config'
import { ejectOutliers } from '../balance/outlierEjection.js'
import { chooseSubset, type SubsetInput } from '../balance/subset.js'
import { TargetGroup } from '../balance/targetGroup.js'
import type { TargetState } from '../balance/targetState.js'
import { DeadlineQueue, expectedWaitMs, type QueueItem } from '../limits/deadlineQueue.js'
import { RetryBudget } from '../limits/retryBudget.js'
import { sameItems } from '../utils.js'

/** Smoothing factor of the average run time; averages about the last 20 attempts. */
const RUN_TIME_ALPHA = 0.05

/** A call that waits for a target with a free slot. */
export interface QueuedCall<T> extends QueueItem {
  /** Called when a slot on a target is free for the call; the call takes the slot. */
  startAttempt (target: T): void
  /** Called when its version has no targets any more; the call has left the queue and is admitted once more. */
  readmit (): void
}

/** The targets of one version and the calls that wait for them. */
interface VersionPool<T extends TargetState> {
  group: TargetGroup<T>
  queue: DeadlineQueue<QueuedCall<T>>
}

export interface ServiceStateOptions<T extends TargetState> {
  /** Id of this daemon. */
  daemon: string
  dataCentre: string
  random: Random
  /** Creates the state of a target; `isWarm` skips its slow start. */
  createTarget (endpoint: EndpointView, now: number, isWarm: boolean): T
  /** Called when a target is no longer used; calls in flight on it go on. */
  retireTarget (target: T): void
}

/**
 * Admission of the calls of one service: chooses targets, queues calls while all targets are full, and holds the retry
 * budget. Keeps the targets in line with the announced endpoints.
 */
export class ServiceState<T extends TargetState> {
  readonly retryBudget: RetryBudget
  readonly #opts: ServiceStateOptions<T>
  readonly #targets = new Map<string, T>()
  #pools = new Map<string, VersionPool<T>>()
  #service: Service
  #queuedCount = 0
  #endpoints: readonly EndpointView[] = []
  /** Daemons that share the targets. */
  #daemonCount = 0
  /** Smoothed time for which an attempt holds a slot. */
  #avgRunMs = 1

  constructor (service: Service, opts: ServiceStateOptions<T>) {
    this.#service = service
    this.#opts = opts
    this.retryBudget = new RetryBudget(service.retryBudget)
  }

  get targets (): Iterable<T> {
    return this.#targets.values()
  }

  get queuedCount (): number {
    return this.#queuedCount
  }

  configure (service: Service): void {
    this.#service = service
    this.retryBudget.setRatio(service.retryBudget)
  }

  hasTargets (version: string): boolean {
    return this.#pools.has(version)
  }

  /** A target with a free slot; one that was tried already only when no other has one. */
  chooseTarget (version: string, tried: readonly TargetState[]): T | undefined {
    const group = this.#pools.get(version)?.group
    const untried = group?.choose(tried)
    if (untried || tried.length === 0 || !group) return untried
    return group.choose([])
  }

  /** Queues a call; false when the queue is full or the call isn't expected to be done by its deadline. */
  enqueue (version: string, call: QueuedCall<T>, now: number): boolean {
    const pool = this.#pools.get(version)
    if (!pool || this.#queuedCount >= this.#service.queue) return false
    if (expectedWaitMs(pool.queue.size, pool.group.capacity, this.#avgRunMs) > call.deadline - now) return false
    this.#queuedCount++
    pool.queue.push(call)
    return true
  }

  /** Removes a call that stopped waiting; does nothing when it isn't queued. */
  removeQueued (version: string, call: QueuedCall<T>): void {
    if (call.queueIndex < 0) return
    this.#pools.get(version)?.queue.remove(call)
    this.#queuedCount--
  }

  /** Frees the slot of an attempt and starts queued calls of the same version. */
  releaseSlot (target: T, heldMs: number): void {
    target.inFlight--
    this.#avgRunMs += (heldMs - this.#avgRunMs) * RUN_TIME_ALPHA
    if (this.#queuedCount > 0) this.#startQueued(target.endpoint.version)
  }

  /**
   * Applies the announced endpoints of this service. Unchanged endpoints are expected to be the same objects, so that a
   * change of one target costs little for all other services. Targets skip slow start when the service had none before.
   */
  updateEndpoints (endpoints: readonly EndpointView[], daemonCount: number, now: number): void {
    if (daemonCount === this.#daemonCount && sameItems(endpoints, this.#endpoints)) return
    this.#daemonCount = daemonCount
    this.#endpoints = endpoints
    const isWarm = this.#targets.size === 0
    const usable = endpoints.filter((endpoint) => endpoint.state === 'ready' || endpoint.state === 'starting')
    const usedKeys = new Set<string>()
    const localTargets = new Set<T>()
    const byVersion = groupBy(usable, (endpoint) => endpoint.version)
    const groups = new Map<string, T[]>()
    for (const [version, versionEndpoints] of byVersion) {
      const input: SubsetInput = {
        daemon: this.#opts.daemon, dataCentre: this.#opts.dataCentre, daemonCount, endpoints: versionEndpoints
      }
      groups.set(version, chooseSubset(input).map(({ endpoint, isLocal, connections }) => {
        const target = this.#getOrCreateTarget(endpoint, connections, now, isWarm)
        if (isLocal) localTargets.add(target)
        usedKeys.add(targetKey(endpoint))
        return target
      }))
    }
    this.#retireUnused(usedKeys)
    this.#rebuildPools(groups, localTargets, now)
  }

  /** Periodic maintenance of targets and queues; returns the targets ejected now. */
  tick (now: number, periodMs: number): T[] {
    const ejected: T[] = []
    for (const [version, { group }] of this.#pools) {
      for (const target of group.targets) target.tick(now, periodMs, group.medianLatencyMs)
      ejected.push(...ejectOutliers(group.targets, now) as T[])
      group.refresh(now)
      this.#startQueued(version)
    }
    return ejected
  }

  #getOrCreateTarget (endpoint: EndpointView, connections: number, now: number, isWarm: boolean): T {
    const key = targetKey(endpoint)
    let target = this.#targets.get(key)
    if (!target) {
      target = this.#opts.createTarget(endpoint, now, isWarm)
      this.#targets.set(key, target)
    }
    target.updateEndpoint(endpoint, connections, now)
    return target
  }

  #retireUnused (usedKeys: ReadonlySet<string>): void {
    for (const [key, target] of this.#targets) {
      if (usedKeys.has(key)) continue
      this.#targets.delete(key)
      this.#opts.retireTarget(target)
    }
  }

  /** Replaces the pools; queues of versions that stay are kept, calls queued for the others are admitted again. */
  #rebuildPools (groups: ReadonlyMap<string, T[]>, localTargets: ReadonlySet<T>, now: number): void {
    const previous = this.#pools
    this.#pools = new Map()
    for (const [version, targets] of groups) {
      const group = new TargetGroup(targets, (target) => localTargets.has(target), this.#opts.random, now)
      const queue = previous.get(version)?.queue ?? new DeadlineQueue<QueuedCall<T>>()
      this.#pools.set(version, { group, queue })
    }
    for (const [version, { queue }] of previous) {
      if (!groups.has(version)) this.#readmitAll(queue)
      else this.#startQueued(version)
    }
  }

  #readmitAll (queue: DeadlineQueue<QueuedCall<T>>): void {
    for (let call = queue.pop(); call; call = queue.pop()) {
      this.#queuedCount--
      call.readmit()
    }
  }

  #startQueued (version: string): void {
    const pool = this.#pools.get(version)
    if (!pool) return
    while (pool.queue.size > 0) {
      const target = pool.group.choose([])
      if (!target) return
      this.#queuedCount--
      pool.queue.pop()!.startAttempt(target)
    }
  }
}

/** Identity of a target: one that returns at another address or with another version starts with a new state. */
function targetKey (endpoint: EndpointView): string {
  return `${endpoint.id} ${endpoint.version} ${endpoint.address}:${endpoint.port}`
}
