import type { EndpointView } from '@lentilwheel/core'

/** Targets of one version that a daemon uses when there are more. */
export const SUBSET_SIZE = 12
/** Share of a target's connections that this fleet plans with; the rest is for overlap while members change. */
const CONNECTION_SHARE = 0.9
const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

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
  const ranked = endpoints
    .map((endpoint) => ({ endpoint, rank: rendezvousRank(question.daemon, endpoint.id) }))
    .sort((a, b) => b.rank - a.rank || (a.endpoint.id < b.endpoint.id ? -1 : 1))
    .slice(0, SUBSET_SIZE)
  const callersPerTarget = Math.max(1, question.callers * ranked.length / Math.max(1, endpoints.length))
  return ranked.map(({ endpoint }) => ({
    endpoint,
    local,
    connections: Math.max(1, Math.floor(endpoint.connections * CONNECTION_SHARE / callersPerTarget))
  }))
}

/** FNV-1a over both names with a final mix; equal on every daemon. */
export function rendezvousRank (daemon: string, target: string): number {
  let hash = FNV_OFFSET
  const text = `${daemon}\n${target}`
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
