/** States of a target. `ready` ones get calls, `starting` ones a reduced share of them, the others none. */
export const ENDPOINT_STATES = ['starting', 'ready', 'draining', 'gone'] as const
export type EndpointState = typeof ENDPOINT_STATES[number]

/** A target as the daemon beside it announces it to the fleet. */
export interface Endpoint {
  /** `<daemon>/<name>`, unique in the fleet. */
  id: string
  service: string
  version: string
  /** IP address and port at which the target takes calls. */
  address: string
  port: number
  dataCentre: string
  /** Maximum number of calls that it runs concurrently. */
  slots: number
  /** Maximum number of connections that it accepts. */
  connections: number
  state: EndpointState
  /** Load that the target reports, from 0 (idle) to 1 (full); may be outdated or wrong. */
  load?: number
}

/** An endpoint as one daemon sees it. */
export interface EndpointView extends Endpoint {
  /** False if this daemon can't reach the daemon beside the target; such a target is less preferred, not excluded. */
  reachable: boolean
}
