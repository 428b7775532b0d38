import type { EndpointView } from '@lentilwheel/core'

/** Ready targets of the two versions of a move, as one daemon sees them. */
export class Capacity {
  readonly #from: string
  readonly #to: string
  #old = new Set<string>()
  #new = new Set<string>()
  /** Slots that the old version had at its best during the move; it may be scaled down while traffic leaves it. */
  neededSlots = 0
  readySlots = 0
  /** Targets of each version that vanished without saying that they leave. */
  lostNew = 0
  lostOld = 0
  /** Rises whenever targets of the new version became ready. */
  arrivals = 0

  constructor (from: string, to: string) {
    this.#from = from
    this.#to = to
  }

  /** Takes in the endpoints of the move's service. */
  update (endpoints: readonly EndpointView[]): void {
    const seen = this.#collect(endpoints)
    this.lostNew += countLost(this.#new, seen.new, seen.leaving)
    this.lostOld += countLost(this.#old, seen.old, seen.leaving)
    for (const id of seen.new) if (!this.#new.has(id)) this.arrivals++
    this.#old = seen.old
    this.#new = seen.new
    this.readySlots = seen.newSlots
    this.neededSlots = Math.max(this.neededSlots, seen.oldSlots)
  }

  /** Largest share that the ready targets of the new version can take, in proportion to the old version's slots. */
  get bound (): number {
    if (this.readySlots === 0) return 0
    return Math.min(1, this.readySlots / Math.max(1, this.neededSlots))
  }

  #collect (endpoints: readonly EndpointView[]) {
    const seen = { old: new Set<string>(), new: new Set<string>(), leaving: new Set<string>(), oldSlots: 0, newSlots: 0 }
    for (const endpoint of endpoints) {
      if (endpoint.state === 'draining') seen.leaving.add(endpoint.id)
      if (endpoint.state !== 'ready') continue
      if (endpoint.version === this.#to) {
        seen.new.add(endpoint.id)
        seen.newSlots += endpoint.slots
      } else if (endpoint.version === this.#from) {
        seen.old.add(endpoint.id)
        seen.oldSlots += endpoint.slots
      }
    }
    return seen
  }
}

function countLost (before: ReadonlySet<string>, after: ReadonlySet<string>, leaving: ReadonlySet<string>): number {
  let lost = 0
  for (const id of before) if (!after.has(id) && !leaving.has(id)) lost++
  return lost
}
