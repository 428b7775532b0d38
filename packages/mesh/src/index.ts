/**
 * The mesh keeps daemons informed of each other by gossip, distributes configuration versions and facts about moves to all
 * of them, and routes evidence to the coordinator of each move.
 *
 * How to use it:
 *
 * ```ts
 * const mesh = createMesh({
 *   identity: { id, address, ports: { mesh: 8083, proxy: 8080, admin: 8081 }, dataCentre, region },
 *   seeds: ['10.0.0.1:8083'], meshKey, platform, timers, random, metrics, log, events
 * })
 * mesh.on({
 *   onSnapshot: (snapshot) => …,      // a version was applied
 *   onEndpoints: (endpoints) => …,    // the whole list, batched over 10 ms
 *   onFact: (fact) => …,              // published here or received
 *   onEvidence: (report) => …,        // only on the move's coordinator
 *   onReadiness: (readiness) => …     // serve calls only once the daemon is ready
 * })
 * await mesh.start()                  // resolves when the port is open, before the daemon is ready
 * mesh.setEndpoints(targets)          // on each change of state; a change of load alone is not pushed
 * await mesh.stop()                   // announces leaving; call it after the targets have drained
 * ```
 *
 * The mesh itself records `versionRefused`, `olderHeadSeen`, membership, lease and platform events in the event log. All
 * daemons are set up alike: relays, which read the platform for the others, are elected among the members.
 */
export * from './errors.js'
export { MeshNode } from './meshNode.js'
export { createMesh } from './nodeMesh.js'
export type { MeshMethod, MeshTransport, TransportHandlers } from './transport/meshTransport.js'
export * from './types.js'
export type { MemberStatus } from './membership/memberTable.js'
