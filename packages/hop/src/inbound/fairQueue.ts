/** A request in the queue. */
export interface QueuedRequest {
  readonly key: string
  readonly arrivedAt: number
  /** Workspace of the caller; all requests without one share a flow. */
  readonly workspace?: string | undefined
}

/** The requests of one workspace with the same urgency. */
interface Flow<T> {
  readonly requests: T[]
  /** Virtual time at which its next request is due. */
  startTag: number
}

/** The flows of one urgency. */
interface Level<T> {
  readonly urgency: number
  readonly flows: Map<string, Flow<T>>
  /** Start tag of the request that was taken last. */
  virtualTime: number
}

/** Flows without requests that are kept for each urgency; one that is dropped starts again without debt. */
const MAX_IDLE_FLOWS = 1_000
/** Flow of the requests without a workspace. */
const NO_WORKSPACE = ''

/**
 * Queue ordered by urgency, and within one urgency by start-time fair queueing over workspaces: each request taken moves the
 * start tag of its workspace on by one, and the workspace with the earliest tag is next. A workspace that has been idle starts at
 * the present virtual time, without credit. Requests of one workspace are taken in order of arrival.
 */
export class FairQueue<T extends QueuedRequest> {
  readonly #urgencyOf: (request: T) => number
  /** Most urgent first. */
  readonly #levels: Level<T>[] = []
  #size = 0

  constructor (urgencyOf: (request: T) => number) {
    this.#urgencyOf = urgencyOf
  }

  get size (): number {
    return this.#size
  }

  /** Number of workspaces for which state is kept, summed over the urgencies. */
  get flowCount (): number {
    return this.#levels.reduce((sum, { flows }) => sum + flows.size, 0)
  }

  add (request: T): void {
    const level = this.#level(this.#urgencyOf(request))
    const { requests } = this.#flow(level, request)
    let index = requests.length
    while (index > 0 && request.arrivedAt < requests[index - 1]!.arrivedAt) index--
    requests.splice(index, 0, request)
    this.#size++
  }

  /** Takes the next request; undefined if there is none. */
  take (): T | undefined {
    for (const level of this.#levels) {
      const flow = nextFlow(level)
      if (!flow) continue
      this.#size--
      const request = flow.requests.shift()!
      this.#advance(level, flow)
      return request
    }
    return undefined
  }

  /** Counts a request that started without having been queued towards the share of its workspace. */
  recordStart (request: T): void {
    const level = this.#level(this.#urgencyOf(request))
    this.#advance(level, this.#flow(level, request))
  }

  /** Number of requests that would be taken before a new one. */
  countAhead (request: T): number {
    const urgency = this.#urgencyOf(request)
    let ahead = 0
    for (const level of this.#levels) {
      if (level.urgency < urgency) ahead += sizeOf(level)
      if (level.urgency === urgency) ahead += countAheadIn(level, request)
    }
    return ahead
  }

  /** Whether requests of the same urgency and workspace are in the queue. */
  hasRequestsOf (request: T): boolean {
    const flow = this.#level(this.#urgencyOf(request)).flows.get(flowName(request))
    return flow !== undefined && flow.requests.length > 0
  }

  /** Number of requests that are at least as urgent as a new one. */
  countAsUrgent (request: T): number {
    const urgency = this.#urgencyOf(request)
    return this.#levels.reduce((sum, level) => level.urgency <= urgency ? sum + sizeOf(level) : sum, 0)
  }

  /**
   * Removes and returns the newest request of the workspace that has most of them among those as urgent as a new request;
   * undefined if that is the workspace of the new request.
   */
  evictFor (request: T): T | undefined {
    const level = this.#level(this.#urgencyOf(request))
    const ownLength = (level.flows.get(flowName(request))?.requests.length ?? 0) + 1
    let longest: T[] | undefined
    for (const { requests } of level.flows.values()) if (requests.length > (longest?.length ?? ownLength)) longest = requests
    if (!longest) return undefined
    this.#size--
    return longest.pop()
  }

  /** Removes and returns the requests for which the condition holds. */
  removeIf (condition: (request: T) => boolean): T[] {
    const removed: T[] = []
    for (const { flows } of this.#levels) {
      for (const flow of flows.values()) {
        if (!flow.requests.some(condition)) continue
        const kept = flow.requests.filter((request) => {
          if (!condition(request)) return true
          removed.push(request)
          return false
        })
        flow.requests.splice(0, flow.requests.length, ...kept)
      }
    }
    this.#size -= removed.length
    return removed
  }

  #level (urgency: number): Level<T> {
    const index = this.#levels.findIndex((level) => level.urgency >= urgency)
    const found = this.#levels[index]
    if (found?.urgency === urgency) return found
    const level: Level<T> = { urgency, flows: new Map(), virtualTime: 0 }
    this.#levels.splice(index < 0 ? this.#levels.length : index, 0, level)
    return level
  }

  /** The flow of a request; one that was idle is due now at the earliest. */
  #flow (level: Level<T>, request: T): Flow<T> {
    const name = flowName(request)
    let flow = level.flows.get(name)
    if (!flow) {
      if (level.flows.size >= MAX_IDLE_FLOWS) dropIdle(level)
      level.flows.set(name, flow = { requests: [], startTag: level.virtualTime })
    }
    if (flow.requests.length === 0) flow.startTag = Math.max(flow.startTag, level.virtualTime)
    return flow
  }

  #advance (level: Level<T>, flow: Flow<T>): void {
    level.virtualTime = flow.startTag
    flow.startTag++
  }
}

function flowName ({ workspace }: QueuedRequest): string {
  return workspace ?? NO_WORKSPACE
}

function sizeOf<T> ({ flows }: Level<T>): number {
  let size = 0
  for (const { requests } of flows.values()) size += requests.length
  return size
}

/** The flow whose next request is due first, by arrival if several are due at the same virtual time. */
function nextFlow<T extends QueuedRequest> ({ flows }: Level<T>): Flow<T> | undefined {
  let next: Flow<T> | undefined
  for (const flow of flows.values()) {
    if (flow.requests.length > 0 && (!next || isEarlier(flow, next))) next = flow
  }
  return next
}

function isEarlier<T extends QueuedRequest> (a: Flow<T>, b: Flow<T>): boolean {
  return a.startTag !== b.startTag ? a.startTag < b.startTag : a.requests[0]!.arrivedAt < b.requests[0]!.arrivedAt
}

/** Number of requests that are due before a new one, or at the same virtual time. */
function countAheadIn<T extends QueuedRequest> ({ flows, virtualTime }: Level<T>, request: T): number {
  const name = flowName(request)
  const own = flows.get(name)
  const ownLength = own?.requests.length ?? 0
  const dueAt = (ownLength > 0 ? own!.startTag : Math.max(own?.startTag ?? virtualTime, virtualTime)) + ownLength
  let ahead = ownLength
  for (const [other, { requests, startTag }] of flows) {
    if (other !== name) ahead += Math.max(0, Math.min(requests.length, Math.floor(dueAt - startTag) + 1))
  }
  return ahead
}

/** Drops the flows that have no requests and no debt, or if there are none, the oldest one without requests. */
function dropIdle<T> ({ flows, virtualTime }: Level<T>): void {
  let oldestIdle: string | undefined
  const countBefore = flows.size
  for (const [name, { requests, startTag }] of flows) {
    if (requests.length > 0) continue
    oldestIdle ??= name
    if (startTag <= virtualTime) flows.delete(name)
  }
  if (flows.size === countBefore && oldestIdle !== undefined) flows.delete(oldestIdle)
}
