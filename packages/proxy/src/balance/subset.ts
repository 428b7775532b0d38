import { rendezvousScore, type EndpointView } from '@lentilwheel/core'

/** Largest number of targets of one version in one part of the fleet (own or other data centres) that a daemon uses. */
export const SUBSET_SIZE = 12
/** Smallest subset: leaves a second target to retry on, even where that exceeds the targets' connection limits. */
const MIN_SUBSET_SIZE = 2
/** Standard deviations above the mean number of daemons per target that a target's connections must suffice for. */
const DEVIATION_MARGIN = 4

/** What a daemon knows when it chooses its subset of the targets of one version. */
export interface SubsetInput {
  /** Id of this daemon. */
  daemon: string
  dataCentre: string
  /** Daemons that may call the targets, this one included; 1 while the number is unknown. */
  daemonCount: number
  endpoints: readonly EndpointView[]
}

/** A target in the daemon's subset. */
export interface SubsetMember {
  endpoint: EndpointView
  /** Whether it is in the daemon's own data centre. */
  isLocal: boolean
  /** Connections that this daemon may open to it. */
  connections: number
}

/**
 * Chooses a stable subset of the targets by rendezvous hashing, separately for the own and for the other data centres,
 * and divides each target's connections among the daemons that are expected to choose it. A daemon that connected to
 * every target of a large service would exceed the targets' connection limits.
 */
export function chooseSubset (input: SubsetInput): SubsetMember[] {
  const local = input.endpoints.filter((endpoint) => endpoint.dataCentre === input.dataCentre)
  const remote = input.endpoints.filter((endpoint) => endpoint.dataCentre !== input.dataCentre)
  return [...chooseByScore(input, local, true), ...chooseByScore(input, remote, false)]
}

function chooseByScore (input: SubsetInput, endpoints: readonly EndpointView[], isLocal: boolean): SubsetMember[] {
  if (endpoints.length === 0) return []
  const minConnections = Math.min(...endpoints.map((endpoint) => endpoint.connections))
  const size = subsetSize(input.daemonCount, endpoints.length, minConnections)
  const daemonsPerTarget = maxDaemonsPerTarget(input.daemonCount, size, endpoints.length)
  return endpoints
    .map((endpoint) => ({ endpoint, score: rendezvousScore(input.daemon, endpoint.id) }))
    .sort((a, b) => b.score - a.score || (a.endpoint.id < b.endpoint.id ? -1 : 1))
    .slice(0, size)
    .map(({ endpoint }) => ({
      endpoint,
      isLocal,
      connections: Math.max(1, Math.floor(endpoint.connections / daemonsPerTarget))
    }))
}

/** The largest subset size at which each target has a connection for every daemon that chooses it. */
function subsetSize (daemonCount: number, targetCount: number, minConnections: number): number {
  let size = Math.min(SUBSET_SIZE, targetCount)
  while (size > MIN_SUBSET_SIZE && maxDaemonsPerTarget(daemonCount, size, targetCount) > minConnections) size--
  return size
}

/** Probable upper limit of the daemons that choose one target, as choices by hash spread like independent random draws. */
export function maxDaemonsPerTarget (daemonCount: number, size: number, targetCount: number): number {
  const probability = size / targetCount
  return daemonCount * probability + DEVIATION_MARGIN * Math.sqrt(daemonCount * probability * (1 - probability))
}
