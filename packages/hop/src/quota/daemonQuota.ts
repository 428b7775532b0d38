import type { Random, Timers } from '@lentilwheel/core'
import { runAfterTurn } from '../daemon/nodeLoopLag.js'
import type { Fleet } from '../fleet/fleet.js'
import type { CallLog } from '../observe/callLog.js'
import type { MeshWorkspace } from '../routing/meshConfig.js'
import { FleetQuotaGate } from './fleetQuotaGate.js'
import { quotaFleetView } from './quotaFleetView.js'

export interface DaemonQuotaOptions {
  host: string
  timers: Timers
  random: Random
  log: CallLog
  fleet: Fleet
  /** Requests by which the deployment lets a workspace pass its quota in a short time; absent for none. */
  slack: number | undefined
}

const NO_WORKSPACES: ReadonlyMap<string, MeshWorkspace> = new Map()

/** The quota gate of one daemon, which asks over the links of its fleet and follows its configuration. */
export class DaemonQuota {
  readonly gate: FleetQuotaGate
  readonly #fleet: Fleet
  #workspaces = NO_WORKSPACES
  #isUpdateDue = false

  constructor ({ host, timers, random, log, fleet, slack }: DaemonQuotaOptions) {
    this.#fleet = fleet
    this.gate = new FleetQuotaGate({
      own: host,
      timers,
      random,
      log,
      slack,
      limitOf: (workspace) => this.#workspaces.get(workspace),
      defer: runAfterTurn,
      send: (peer, message, done) => {
        const link = fleet.link(peer)
        if (link) link.askQuota(message, done)
        else done(undefined)
      },
      askReach: (peer, hosts, done) => {
        const link = fleet.link(peer)
        if (link) link.askReach(hosts, done)
        else done(undefined)
      }
    })
  }

  setWorkspaces (workspaces: ReadonlyMap<string, MeshWorkspace>): void {
    this.#workspaces = workspaces
    this.gate.retain(workspaces)
    this.onFleetChange()
  }

  /** Tells the gate which daemons live, once for all changes of a turn; a configuration without workspaces needs none of it. */
  onFleetChange (): void {
    if (this.#isUpdateDue || this.#workspaces.size === 0) return
    this.#isUpdateDue = true
    runAfterTurn(() => {
      this.#isUpdateDue = false
      this.gate.setFleet(quotaFleetView(this.#fleet.records(), this.#fleet))
    })
  }
}
