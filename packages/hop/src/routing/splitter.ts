import type { Random } from '@lentilwheel/core'
import type { MeshRoute } from './meshConfig.js'

interface Wheel {
  readonly key: string
  /** Credit of each part; the part with the most is taken next. */
  readonly credits: number[]
}

/**
 * Deals the requests of a route among its parts by smooth weighted round robin, so that short spans keep the weights
 * too. Each daemon starts at a random point, so that many daemons together keep them as well.
 */
export class Splitter {
  readonly #random: Random
  readonly #wheels = new Map<string, Wheel>()

  constructor (random: Random) {
    this.#random = random
  }

  /** The service that gets the next request of the route. */
  next (route: MeshRoute): string {
    const { parts } = route
    if (parts.length === 1) return parts[0]!.service
    const { credits } = this.#wheelOf(route)
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
    for (const name of this.#wheels.keys()) if (!routes.has(name)) this.#wheels.delete(name)
  }

  #wheelOf (route: MeshRoute): Wheel {
    const key = route.parts.map((part) => `${part.service}=${part.weight}`).join()
    let wheel = this.#wheels.get(route.name)
    if (wheel?.key !== key) {
      wheel = { key, credits: route.parts.map((part) => part.weight * this.#random.next()) }
      this.#wheels.set(route.name, wheel)
    }
    return wheel
  }
}
