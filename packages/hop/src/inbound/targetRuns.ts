import { CallChains } from './callChains.js'

/** Who made a request: a caller, a run on the target, or a run that is a repeat. */
export type RequestOrigin = 'caller' | 'run' | 'repeatedRun'

interface Run {
  route: string
  repeat: boolean
}

const ID_SEPARATOR = '.'

/** Requests that run on the target beside this daemon, and the calls that they make. */
export class TargetRuns {
  readonly #chains = new CallChains()
  readonly #runs = new Map<string, Run>()

  started (requestId: string, run: Run): void {
    this.#runs.set(requestId, run)
    this.#chains.ran(run.route)
  }

  ended (requestId: string): void {
    this.#runs.delete(requestId)
  }

  /** Services that runs of the route call as a rule. */
  needs (route: string): string[] {
    return this.#chains.needs(route)
  }

  /**
   * Tells a call of the request that the target runs from a caller's request: targets extend the id of the request that
   * they run. Where they don't, their calls are taken for callers' requests.
   */
  originOf (requestId: string): RequestOrigin {
    const run = this.#parentOf(requestId)
    if (!run) return 'caller'
    return run.repeat ? 'repeatedRun' : 'run'
  }

  /** A request that the target runs calls a service. */
  called (requestId: string, service: string): void {
    const run = this.#parentOf(requestId)
    if (run) this.#chains.called(run.route, service)
  }

  #parentOf (requestId: string): Run | undefined {
    const dot = requestId.lastIndexOf(ID_SEPARATOR)
    return dot > 0 ? this.#runs.get(requestId.slice(0, dot)) : undefined
  }
}
