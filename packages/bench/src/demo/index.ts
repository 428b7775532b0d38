import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { request } from 'undici'
import { PlatformServer, TargetServer } from '@lentilwheel/testkit'
import { freePorts, ProcessGroup, waitFor, type StartedDaemon } from '../processes.js'
import { kitaboshiConfig } from './kitaboshi.js'

const DATA_CENTRES = ['sapporo', 'otaru', 'chitose', 'ebetsu']
const DAEMON_COUNT = 8
const IN_FORCE_LIMIT_MS = 15_000

async function startDaemons (group: ProcessGroup, platformUrl: string): Promise<StartedDaemon[]> {
  const ports = await freePorts(DAEMON_COUNT * 4)
  const seeds = [3, 7, 11].map((i) => `127.0.0.1:${ports[i]!}`)
  return Array.from({ length: DAEMON_COUNT }, (_, i) => {
    const [proxy, admin, target, mesh] = ports.slice(i * 4, i * 4 + 4) as [number, number, number, number]
    const settings = { dataCentre: DATA_CENTRES[i % 4], platform: { url: platformUrl }, seeds, meshKey: 'demo-key-on-loopback', log: 'off' }
    return group.startDaemon(`d${i + 1}`, settings, { proxy, admin, target, mesh })
  })
}

async function runDemo (): Promise<void> {
  const platform = new PlatformServer()
  const group = new ProcessGroup()
  const targets: TargetServer[] = []
  try {
    const platformUrl = await platform.listen()
    const daemons = await startDaemons(group, platformUrl)
    const config = join(group.dir, 'kitaboshi.yaml')
    writeFileSync(config, kitaboshiConfig().toYaml())
    const applied = await group.runCli(['apply', config, '--platform', platformUrl])
    process.stdout.write(applied.stdout + applied.stderr)
    if (applied.code !== 0) throw new Error('apply failed')
    for (const daemon of daemons) {
      const ready = async (): Promise<boolean> =>
        (await request(`http://127.0.0.1:${daemon.ports.admin}/readyz`)).statusCode === 200
      await waitFor(`${daemon.id} to be ready`, ready, IN_FORCE_LIMIT_MS)
    }
    const first = daemons[0]!
    const target = new TargetServer({
      service: 'showroom', version: 'v1', daemonUrl: `http://127.0.0.1:${first.ports.target}`
    })
    await target.start()
    targets.push(target)
    const res = await request(`http://127.0.0.1:${first.ports.proxy}/catalogue/wigs`)
    const body = await res.body.text()
    console.log(`call through ${first.id}: ${res.statusCode} ${body}`)
    if (res.statusCode !== 200) throw new Error('the call was not answered')
    const status = await group.runCli(['status', '--platform', platformUrl])
    process.stdout.write(status.stdout + status.stderr)
  } finally {
    await Promise.all(targets.map((target) => target.stop().catch(() => {})))
    await group.stopAll()
    await platform.close()
  }
}

try {
  await runDemo()
  console.log('demo: ok')
} catch (err) {
  console.error(`demo: failed: ${(err as Error).message}`)
  process.exitCode = 1
}
