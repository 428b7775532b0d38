import { ENDPOINT_STATES, type Endpoint, type EndpointView } from '@lentilwheel/core'
import type { Endpoint as WireEndpoint, Record as MemberRecord } from './gen/mesh_pb.js'
import type { Member, MemberTable } from './membership/memberTable.js'
import { endpointFromWire } from './wire/codec.js'

/** Cached views of one daemon's targets, valid until its record or its reachability changes. */
interface CachedViews {
  record: MemberRecord
  reachable: boolean
  views: EndpointView[]
}

/** Builds the list of all targets in the mesh, and rebuilds only the views of daemons that changed since the last call. */
export class EndpointViewCache {
  readonly #cached = new Map<string, CachedViews>()

  list (table: MemberTable): EndpointView[] {
    const views = this.#viewsOf(table.self, true).slice()
    const liveIds = new Set([table.self.id])
    for (const member of table.members()) {
      liveIds.add(member.record.id)
      views.push(...this.#viewsOf(member.record, isMemberReachable(table, member)))
    }
    for (const id of this.#cached.keys()) {
      if (!liveIds.has(id)) this.#cached.delete(id)
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

/** Only this daemon's own probes and partitions count: a member that others merely suspect is still reachable from here. */
function isMemberReachable (table: MemberTable, member: Member): boolean {
  return table.status(member) !== 'unreachable'
}

/**
 * Whether two lists of targets differ in anything but load. Load alone is not pushed: it changes with every report and
 * is sent along with the next change of state.
 */
export function differInState (a: readonly WireEndpoint[], b: readonly WireEndpoint[]): boolean {
  const key = (list: readonly WireEndpoint[]): string => JSON.stringify(list.map((endpoint) => ({ ...endpoint, load: 0 })))
  return key(a) !== key(b)
}

/** Compares targets so that those in use come first, as only the first `MAX_ENDPOINTS` fit into the daemon's record. */
export function compareByUse (a: Endpoint, b: Endpoint): number {
  return stateRank(a) - stateRank(b) || (a.id < b.id ? -1 : 1)
}

/** Order of states: ready, draining, gone, starting. */
function stateRank (endpoint: Endpoint): number {
  return (ENDPOINT_STATES.indexOf(endpoint.state) + 3) % 4
}
