import { rendezvousRank, type EndpointView } from '@lentilwheel/core'

/** Targets of one version that a daemon uses when there are more. */
export const SUBSET_SIZE = 12
/** A daemon keeps an alternative to retry on, even when that uses up the targets' connections. */
const MIN_SUBSET_SIZE = 2
/** Standard deviations above the mean number of daemons that pick one target, which a target must have room for. */
const PICKERS_MARGIN = 4

export interface SubsetQuestion {
  daemon: string
  dataCentre: string
  /** Daemons that call this service, this one included; 1 when nothing is known. */
  callers: number
  endpoints: readonly EndpointView[]
}

export interface SubsetEntry {
  endpoint: EndpointView
  local: boolean
  /** Connections that this daemon may open to it. */
  connections: number
}

/**
 * Picks a stable subset by rendezvous hashing, own data centre and other ones apart, and divides each target's
 * connections among the daemons that are expected to pick it.
 */
export function chooseSubset (question: SubsetQuestion): SubsetEntry[] {
  const local = question.endpoints.filter((endpoint) => endpoint.dataCentre === question.dataCentre)
  const remote = question.endpoints.filter((endpoint) => endpoint.dataCentre !== question.dataCentre)
  return [...pickPart(question, local, true), ...pickPart(question, remote, false)]
}

function pickPart (question: SubsetQuestion, endpoints: readonly EndpointView[], local: boolean): SubsetEntry[] {
  if (endpoints.length === 0) return []
  const room = Math.min(...endpoints.map((endpoint) => endpoint.connections))
  const size = subsetSize(question.callers, endpoints.length, room)
  const pickers = likelyPickers(question.callers, size, endpoints.length)
  return endpoints
    .map((endpoint) => ({ endpoint, rank: rendezvousRank(question.daemon, endpoint.id) }))
    .sort((a, b) => b.rank - a.rank || (a.endpoint.id < b.endpoint.id ? -1 : 1))
    .slice(0, size)
    .map(({ endpoint }) => ({
      endpoint,
      local,
      connections: Math.max(1, Math.floor(endpoint.connections / pickers))
    }))
}

/** The largest subset with which each target has a connection for every daemon that picks it. */
function subsetSize (callers: number, targets: number, room: number): number {
  let size = Math.min(SUBSET_SIZE, targets)
  while (size > MIN_SUBSET_SIZE && likelyPickers(callers, size, targets) > room) size--
  return size
}

/** Upper bound on the daemons that pick one target; picks by hash spread like independent draws. */
export function likelyPickers (callers: number, size: number, targets: number): number {
  const share = size / targets
  return callers * share + PICKERS_MARGIN * Math.sqrt(callers * share * (1 - share))
}
