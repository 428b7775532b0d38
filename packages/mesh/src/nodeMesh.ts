import { MeshNode } from './meshNode.js'
import { NodeMeshTransport } from './transport/nodeMeshTransport.js'
import type { Mesh, MeshOptions } from './types.js'
import { MeshAuth } from './wire/meshAuth.js'

/** Creates the mesh of this process with real sockets: UDP for datagrams and TCP for calls, on the same port number. */
export function createMesh (opts: MeshOptions): Mesh {
  const { identity: { address, ports }, metrics, meshKey } = opts
  return new MeshNode(opts, new NodeMeshTransport({ address, port: ports.mesh, auth: new MeshAuth(meshKey), metrics }))
}
