import { RouteDependencies } from './routeDependencies.js'

/** Who made a request: a caller, a request that runs on the target, or one that runs there as a retry. */
export type RequestOrigin = 'caller' | 'run' | 'repeatedRun'

interface RunningRequest {
  route: string
  /** Whether an earlier attempt of the request may have reached a target. */
  isRetry: boolean
  /** Whether a call that it made was refused for good. */
  isDoomed?: boolean
}

/** Separates the id of a running request from what the target adds to it for a nested call. */
const ID_SEPARATOR = '.'

/**
 * Requests that run on the target beside this daemon. It tells nested calls from callers' requests, and records which
 * services the requests of a route call.
 */
export class RunningRequests {
  readonly #dependencies = new RouteDependencies()
  readonly #running = new Map<string, RunningRequest>()

  add (requestId: string, request: RunningRequest): void {
    this.#running.set(requestId, request)
    this.#dependencies.recordRun(request.route)
  }

  remove (requestId: string): void {
    this.#running.delete(requestId)
  }

  /** Records that a call of a running request was refused because it crashes targets; `requestId` is the id of the nested call. */
  recordNestedRefusal (requestId: string): void {
    const parent = this.#parentOf(requestId)
    if (parent) parent.isDoomed = true
  }

  /** Whether a running request has made a call that was refused because it crashes targets. */
  isDoomed (requestId: string): boolean {
    return this.#running.get(requestId)?.isDoomed ?? false
  }

  /** Services that requests of the route regularly call. */
  servicesOf (route: string): string[] {
    return this.#dependencies.servicesOf(route)
  }

  /**
   * Tells a nested call from a caller's request by its id: targets make the id of a nested call by extending the id of
   * the request that makes it. Nested calls of targets that don't are treated as callers' requests.
   */
  originOf (requestId: string): RequestOrigin {
    const parent = this.#parentOf(requestId)
    if (!parent) return 'caller'
    return parent.isRetry ? 'repeatedRun' : 'run'
  }

  /** Records that a running request called a service; `requestId` is the id of the nested call. */
  recordNestedCall (requestId: string, service: string): void {
    const parent = this.#parentOf(requestId)
    if (parent) this.#dependencies.recordCall(parent.route, service)
  }

  #parentOf (requestId: string): RunningRequest | undefined {
    const separatorIndex = requestId.lastIndexOf(ID_SEPARATOR)
    return separatorIndex > 0 ? this.#running.get(requestId.slice(0, separatorIndex)) : undefined
  }
}
