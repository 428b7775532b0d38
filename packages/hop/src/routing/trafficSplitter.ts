import type { Random } from '@lentilwheel/core'
import type { MeshRoute } from './meshConfig.js'

/** State of the round robin of one route. */
interface RoundRobinState {
  /** Services and weights that the credits belong to. */
  readonly weights: string
  /** Credit of each part; the part with the most gets the next request. */
  readonly credits: number[]
}

/**
 * Distributes the requests of a route among its parts by smooth weighted round robin, so that short sequences of requests
 * keep to the weights too. Each daemon starts with random credits, so that the requests of many daemons together keep to
 * them as well, instead of all starting with the same part.
 */
export class TrafficSplitter {
  readonly #random: Random
  readonly #states = new Map<string, RoundRobinState>()

  constructor (random: Random) {
    this.#random = random
  }

  /** Returns the service that gets the next request of the route. */
  nextService (route: MeshRoute): string {
    const { parts } = route
    if (parts.length === 1) return parts[0]!.service
    const { credits } = this.#stateOf(route)
    let total = 0
    let best = 0
    for (let i = 0; i < parts.length; i++) {
      total += parts[i]!.weight
      credits[i]! += parts[i]!.weight
      if (credits[i]! > credits[best]!) best = i
    }
    credits[best]! -= total
    return parts[best]!.service
  }

  /** Drops the state of routes that no longer exist. */
  retain (routes: ReadonlySet<string>): void {
    for (const name of this.#states.keys()) if (!routes.has(name)) this.#states.delete(name)
  }

  #stateOf (route: MeshRoute): RoundRobinState {
    const weights = route.parts.map((part) => `${part.service}=${part.weight}`).join()
    let state = this.#states.get(route.name)
    if (state?.weights !== weights) {
      state = { weights, credits: route.parts.map((part) => part.weight * this.#random.next()) }
      this.#states.set(route.name, state)
    }
    return state
  }
}
