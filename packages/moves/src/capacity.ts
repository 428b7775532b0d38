import type { EndpointView } from '@lentilwheel/core'

/** Ready targets of the two versions of a move, as one daemon knows them; limits the new version's share. */
export class Capacity {
  readonly #from: string
  readonly #to: string
  #oldTargets = new Set<string>()
  #newTargets = new Set<string>()
  /** Most slots that the old version had ready during the move; it may be scaled down while traffic leaves it. */
  neededSlots = 0
  /** Slots of the new version's ready targets. */
  readySlots = 0
  /** Targets of each version that disappeared without draining first. */
  lostNew = 0
  lostOld = 0
  /** Number of times that a target of the new version became ready. */
  arrivals = 0

  constructor (from: string, to: string) {
    this.#from = from
    this.#to = to
  }

  /** Takes in the current endpoints of the move's service. */
  update (endpoints: readonly EndpointView[]): void {
    const current = this.#collect(endpoints)
    this.lostNew += countLost(this.#newTargets, current.new, current.draining)
    this.lostOld += countLost(this.#oldTargets, current.old, current.draining)
    for (const id of current.new) if (!this.#newTargets.has(id)) this.arrivals++
    this.#oldTargets = current.old
    this.#newTargets = current.new
    this.readySlots = current.newSlots
    this.neededSlots = Math.max(this.neededSlots, current.oldSlots)
  }

  /** Largest share that the ready targets of the new version can take, in proportion to the old version's slots. */
  get maxShare (): number {
    if (this.readySlots === 0) return 0
    return Math.min(1, this.readySlots / Math.max(1, this.neededSlots))
  }

  #collect (endpoints: readonly EndpointView[]) {
    const current = { old: new Set<string>(), new: new Set<string>(), draining: new Set<string>(), oldSlots: 0, newSlots: 0 }
    for (const endpoint of endpoints) {
      if (endpoint.state === 'draining') current.draining.add(endpoint.id)
      if (endpoint.state !== 'ready') continue
      if (endpoint.version === this.#to) {
        current.new.add(endpoint.id)
        current.newSlots += endpoint.slots
      } else if (endpoint.version === this.#from) {
        current.old.add(endpoint.id)
        current.oldSlots += endpoint.slots
      }
    }
    return current
  }
}

/** Number of targets that were ready before and are now neither ready nor draining. */
function countLost (before: ReadonlySet<string>, after: ReadonlySet<string>, draining: ReadonlySet<string>): number {
  let lost = 0
  for (const id of before) if (!after.has(id) && !draining.has(id)) lost++
  return lost
}
