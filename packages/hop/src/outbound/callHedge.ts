import type { Candidate } from './costEstimate.js'
import type { HedgePlacement } from './hedging.js'
import type { OutboundOptions } from './outboundTypes.js'
import type { MeshRoute } from '../routing/meshConfig.js'

/** The parts of the outbound side that the hedge of a request needs. */
type HedgeParts = Pick<OutboundOptions, 'timers' | 'metrics' | 'hedging' | 'fleet' | 'loadBalancer'>

export interface CallHedgeInput {
  route: MeshRoute
  service: string
  urgency: number
}

/** The second run of one request: asks whether it may begin, counts it, and tells the policy how long first runs take. */
export class CallHedge {
  readonly #parts: HedgeParts
  readonly #input: CallHedgeInput
  /** When the first run was offered that may be hedged; undefined if it waits in a queue. */
  #runOfferedAt: number | undefined
  #hedgeAttempt: number | undefined
  /** The attempt whose response arrived last. */
  #respondedAttempt: number | undefined

  constructor (parts: HedgeParts, input: CallHedgeInput) {
    this.#parts = parts
    this.#input = input
  }

  /** Counts the request, which raises the number of allowed hedges. */
  recordRequest (): void {
    this.#parts.hedging.policy.recordRequest(this.#input.service)
  }

  delayMs (candidate: Candidate, candidates: readonly Candidate[]): number {
    return this.#parts.hedging.policy.delayMs(this.#input.route, candidate, candidates)
  }

  /** Takes a hedge from the limits; undefined if they allow none. */
  tryWithdraw (hasFreeTarget: boolean): HedgePlacement | undefined {
    const { hedging, loadBalancer, fleet, timers, metrics } = this.#parts
    const { service, urgency } = this.#input
    const decision = hedging.policy.tryWithdraw({
      service, urgency, daemons: fleet.live().length, now: timers.now(), hasFreeTarget, utilisation: () => loadBalancer.utilisation(service)
    })
    if (decision.kind === 'granted') return decision.placement
    metrics.hedge(decision.reason)
    return undefined
  }

  /** Records an offer of the request; `mayBeHedged`: whether it may run more than once, and takes a slot at once or not at all. */
  recordOffer (attempt: number, isHedge: boolean, mayBeHedged: boolean): void {
    if (!isHedge) {
      this.#runOfferedAt = mayBeHedged ? this.#parts.timers.now() : undefined
      return
    }
    this.#hedgeAttempt = attempt
    this.#parts.metrics.hedge('begun')
  }

  recordResponse (attempt: number): void {
    this.#respondedAttempt = attempt
  }

  /** Counts the end of the request; returns whether its caller got the response of the hedge, undefined if it wasn't hedged. */
  end (outcome: string | number): 'won' | 'lost' | undefined {
    const { timers, metrics, hedging } = this.#parts
    const isAnswered = typeof outcome === 'number' && outcome < 500 && this.#respondedAttempt !== undefined
    if (isAnswered && this.#runOfferedAt !== undefined) hedging.policy.recordLatency(this.#input.route, timers.now() - this.#runOfferedAt)
    if (this.#hedgeAttempt === undefined) return undefined
    const result = isAnswered && this.#respondedAttempt === this.#hedgeAttempt ? 'won' : 'lost'
    metrics.hedge(result)
    return result
  }
}
