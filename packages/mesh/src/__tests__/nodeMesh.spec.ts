import { createServer } from 'node:net'
import test from 'ava'
import { EventLog, MemoryMetrics, NodeTimers, NoopLogger, SeededRandom } from '@lentilwheel/core'
import { createChange, checkConfig, toObjects } from '@lentilwheel/config'
import { acceptChange, HttpPlatformClient, readHead } from '@lentilwheel/platform'
import { FakePlatformServer } from '@lentilwheel/testkit'
import { createMesh } from '../index.js'

async function freePorts (count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer())
  await Promise.all(servers.map((server) => new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))))
  const ports = servers.map((server) => (server.address() as { port: number }).port)
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
  return ports
}

/** Guards against faults of the real transport: calls by connect-es, MACs of calls and datagrams, a peer with another key. */
test('daemons on real sockets apply a change, and a daemon with another key is kept out', async (t) => {
  const server = new FakePlatformServer()
  const url = await server.listen()
  const ports = await freePorts(5)
  const seeds = [`127.0.0.1:${ports[0]}`]
  const timers = new NodeTimers(new SeededRandom(1))
  const platform = new HttpPlatformClient({ url, timers, metrics: new MemoryMetrics() })
  const make = (index: number, meshKey: string) => {
    const id = `d${index}`
    const identity = { id, address: '127.0.0.1', ports: { mesh: ports[index]! }, dataCentre: `dc${index % 2}`, region: 'r' }
    const events = new EventLog({ daemon: id, timers })
    const metrics = new MemoryMetrics()
    return createMesh({ identity, seeds, meshKey, platform, timers, random: new SeededRandom(index), metrics, log: new NoopLogger(), events })
  }
  const meshes = [0, 1, 2, 3].map((index) => make(index, 'key'))
  const outsider = make(4, 'other key')
  const ready = meshes.map((mesh) => new Promise<void>((resolve) => mesh.on({ onReadiness: (r) => r.ready && resolve() })))
  await Promise.all([...meshes, outsider].map((mesh) => mesh.start()))
  const objects = toObjects(checkConfig({ services: { a: { versions: ['v1'], current: 'v1' } } }))
  const base = await readHead(platform)
  await acceptChange(platform, base, createChange(base.head, objects, { id: 'c1', author: 'a', acceptedAt: 0 }))
  await Promise.all(ready)
  t.deepEqual(meshes.map((mesh) => mesh.snapshot().version), [1, 1, 1, 1])
  t.deepEqual(outsider.members().map((member) => member.id), ['d4'])
  t.true(meshes.every((mesh) => !mesh.members().some((member) => member.id === 'd4')))
  await Promise.all([...meshes, outsider].map((mesh) => mesh.stop()))
  await platform.close()
  await server.close()
})
