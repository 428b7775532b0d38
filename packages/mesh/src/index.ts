/**
 * The mesh: membership, dissemination of configuration, facts and evidence between daemons.
 *
 * How to use it:
 *
 * ```ts
 * const mesh = createMesh({
 *   identity: { id, address, ports: { mesh: 8083, proxy: 8080, admin: 8081 }, dataCentre, region },
 *   seeds: ['10.0.0.1:8083'], meshKey, platform, timers, random, metrics, log, events
 * })
 * mesh.on({
 *   onSnapshot: (snapshot) => …,      // a version is in force
 *   onEndpoints: (endpoints) => …,    // the whole list, coalesced over 10 ms
 *   onFact: (fact) => …,              // from here or from elsewhere
 *   onEvidence: (report) => …,        // only on the move's coordinator
 *   onReadiness: (readiness) => …     // serve calls only once it is ready
 * })
 * await mesh.start()                  // resolves when the port is open, before the daemon is ready
 * mesh.setEndpoints(targets)          // on each change of state; a change of load alone is not pushed
 * await mesh.stop()                   // announces leaving; call it after the targets have drained
 * ```
 *
 * The mesh records `versionRefused`, `olderHeadSeen`, membership, lease and platform events in the
 * event log by itself. A process that should read the platform, and one that should not, are set up alike: membership
 * decides which daemons are relays.
 */
export * from './errors.js'
export { MeshNode } from './meshNode.js'
export { createMesh } from './nodeMesh.js'
export type { MeshMethod, MeshTransport, TransportHandlers } from './transport/transport.js'
export * from './types.js'
export type { MemberStatus } from './membership/table.js'
