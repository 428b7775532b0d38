import { ENDPOINT_STATES, type Endpoint, type EndpointView } from '@lentilwheel/core'
import type { Endpoint as WireEndpoint, Record as MemberRecord } from './gen/mesh_pb.js'
import type { Member, MemberTable } from './membership/table.js'
import { endpointFromWire } from './wire/codec.js'

/** Targets of one daemon as seen here; kept until its record or its reachability changes. */
interface Cached {
  record: MemberRecord
  reachable: boolean
  views: EndpointView[]
}

/** Builds the list of all targets; only what changed since the last call is built anew. */
export class EndpointViews {
  readonly #cached = new Map<string, Cached>()

  list (table: MemberTable): EndpointView[] {
    const views = this.#viewsOf(table.self, true).slice()
    const live = new Set([table.self.id])
    for (const member of table.members()) {
      live.add(member.record.id)
      views.push(...this.#viewsOf(member.record, isReachable(table, member)))
    }
    for (const id of this.#cached.keys()) {
      if (!live.has(id)) this.#cached.delete(id)
    }
    return views
  }

  #viewsOf (record: MemberRecord, reachable: boolean): EndpointView[] {
    const cached = this.#cached.get(record.id)
    if (cached?.record === record && cached.reachable === reachable) return cached.views
    const views = record.endpoints.map((endpoint) => ({ ...endpointFromWire(endpoint, record), reachable }))
    this.#cached.set(record.id, { record, reachable, views })
    return views
  }
}

/** The word of others does not count: being unreachable for one observer matters to that observer only. */
function isReachable (table: MemberTable, member: Member): boolean {
  return table.status(member) !== 'unreachable'
}

/**
 * Whether two lists differ in what all daemons must know. Load alone does not count: it changes with every report and
 * travels with the next change of state.
 */
export function differInState (a: readonly WireEndpoint[], b: readonly WireEndpoint[]): boolean {
  const key = (list: readonly WireEndpoint[]): string => JSON.stringify(list.map((endpoint) => ({ ...endpoint, load: 0 })))
  return key(a) !== key(b)
}

/** Orders endpoints so that those in use come first when a daemon has more than its record may hold. */
export function byUse (a: Endpoint, b: Endpoint): number {
  return useRank(a) - useRank(b) || (a.id < b.id ? -1 : 1)
}

function useRank (endpoint: Endpoint): number {
  return (ENDPOINT_STATES.indexOf(endpoint.state) + 3) % 4
}
