import { NodeTimers, NoopMetrics, SeededRandom, type EndpointView } from '@lentilwheel/core'
import { buildSnapshot, checkConfig, rootHash, toObjects, type ConfigInput, type Snapshot } from '@lentilwheel/config'
import { ProxyServer } from '@lentilwheel/proxy'
import { serveCommands } from '@lentilwheel/testkit'

/** Runs a proxy without a daemon in a process of its own, controlled by commands from the path bench. */
const random = new SeededRandom(1)
const proxy = new ProxyServer({
  daemon: 'bench', dataCentre: 'here', timers: new NodeTimers(random), random, metrics: new NoopMetrics()
})
let version = 0

function snapshotOf (cfg: ConfigInput): Snapshot {
  const objects = toObjects(checkConfig(cfg))
  version++
  return buildSnapshot(
    { version, changeId: `c${version}`, acceptedAt: 0, rootHash: rootHash(objects.values()) }, objects)
}

serveCommands({
  listen: async () => await proxy.listen(0, '127.0.0.1'),
  setConfig: (cfg: ConfigInput) => proxy.setSnapshot(snapshotOf(cfg)),
  setEndpoints: (endpoints: EndpointView[]) => proxy.setEndpoints(endpoints),
  usage: () => {
    const { user, system } = process.cpuUsage()
    return { cpuMs: (user + system) / 1000, rssMb: process.memoryUsage.rss() / 1024 ** 2, counters: { ...proxy.counters } }
  }
})
