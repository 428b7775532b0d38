/** States of a target: only `ready` ones get new work; `starting` ones get a ramped share. */
export const ENDPOINT_STATES = ['starting', 'ready', 'draining', 'gone'] as const
export type EndpointState = typeof ENDPOINT_STATES[number]

/** A target as its daemon announces it. */
export interface Endpoint {
  /** `<daemon>/<name>`, unique in the fleet. */
  id: string
  service: string
  version: string
  /** IP address and port at which the target takes calls. */
  address: string
  port: number
  dataCentre: string
  /** Calls it runs at a time. */
  slots: number
  /** Connections it accepts. */
  connections: number
  state: EndpointState
  /** Load it reports, 0 (idle) to 1 (full); a hint that may lag or mislead. */
  load?: number
}

/** An endpoint as one daemon sees it. */
export interface EndpointView extends Endpoint {
  /** False when this daemon cannot reach the daemon beside the target; lowers preference only. */
  reachable: boolean
}
