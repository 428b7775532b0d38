import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import test from 'ava'
import { StatsdMetrics } from '../nodeMetrics.js'

/** Guards against datagrams that a DogStatsD agent can't parse, and against lines lost when the client is closed. */
test('counts, gauges and timings arrive as DogStatsD lines with the global tags', async (t) => {
  const agent = createSocket('udp4')
  agent.bind(0, '127.0.0.1')
  await once(agent, 'listening')
  const metrics = new StatsdMetrics({ host: '127.0.0.1', port: agent.address().port, tags: { daemon: 'd1', data_centre: 'otaru' } })
  metrics.count('mesh.refusals')
  metrics.count('mesh.bytes_sent', 120, { message: 'ping' })
  metrics.gauge('mesh.version', 7)
  metrics.timing('platform.call_ms', 12.5, { operation: 'get' })
  const lines = new Set<string>()
  const arrived = new Promise<void>((resolve) => agent.on('message', (datagram) => {
    for (const line of String(datagram).split('\n')) if (line !== '') lines.add(line)
    if (lines.size >= 4) resolve()
  }))
  metrics.close()
  await arrived
  agent.close()
  t.deepEqual([...lines].map(sortTags).sort(), [
    'lentilwheel.mesh.bytes_sent:120|c|#daemon:d1,data_centre:otaru,message:ping',
    'lentilwheel.mesh.refusals:1|c|#daemon:d1,data_centre:otaru',
    'lentilwheel.mesh.version:7|g|#daemon:d1,data_centre:otaru',
    'lentilwheel.platform.call_ms:12.5|ms|#daemon:d1,data_centre:otaru,operation:get'
  ])
})

function sortTags (line: string): string {
  const [metric, tags] = line.split('|#') as [string, string]
  return `${metric}|#${tags.split(',').sort().join(',')}`
}
