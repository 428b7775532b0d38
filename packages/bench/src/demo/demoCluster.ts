import { request } from 'undici'
import { FakePlatformServer, FakeTarget } from '@lentilwheel/testkit'
import { findFreePorts, ProcessGroup, waitFor, type DaemonProcess } from '../processes.js'

const DATA_CENTRES = ['sapporo', 'otaru', 'chitose', 'ebetsu']
const DAEMON_COUNT = 8
const PORTS_PER_DAEMON = 4
const SEED_COUNT = 3
const READY_TIMEOUT_MS = 20_000
const INSTANCE_COUNT = 4

/** The processes of the demo: a fake platform, daemons in four data centres, and targets. */
export class DemoCluster {
  readonly platform = new FakePlatformServer()
  readonly group = new ProcessGroup()
  readonly targets: FakeTarget[] = []
  platformUrl = ''
  daemons: DaemonProcess[] = []

  async start (): Promise<void> {
    this.platformUrl = await this.platform.listen()
    const ports = await findFreePorts(DAEMON_COUNT * PORTS_PER_DAEMON)
    const seeds = Array.from({ length: SEED_COUNT }, (_, i) => `127.0.0.1:${ports[i * PORTS_PER_DAEMON + 3]!}`)
    this.daemons = Array.from({ length: DAEMON_COUNT }, (_, i) => {
      const [proxy, admin, target, mesh] = ports.slice(i * PORTS_PER_DAEMON) as [number, number, number, number]
      return this.group.startDaemon(`d${i + 1}`, {
        dataCentre: DATA_CENTRES[i % DATA_CENTRES.length],
        platform: { url: this.platformUrl },
        seeds,
        meshKey: 'demo-key-on-loopback',
        log: 'off',
        drainSeconds: 2
      }, { proxy, admin, target, mesh })
    })
    await Promise.all(this.daemons.map(async ({ id, ports }) => {
      await waitFor(`${id} to start`, async () => await isOk(`http://127.0.0.1:${ports.admin}/healthz`), READY_TIMEOUT_MS)
    }))
  }

  /** Starts the instances of a version, each announced to a daemon of its own. */
  async startTargets (service: string, version: string, adjust: (target: FakeTarget) => void = () => {}): Promise<void> {
    for (let i = 0; i < INSTANCE_COUNT; i++) {
      const daemon = this.daemons[(i + (version === 'v1' ? 0 : INSTANCE_COUNT)) % DAEMON_COUNT]!
      const target = new FakeTarget({ service, version, daemonUrl: `http://127.0.0.1:${daemon.ports.target}` })
      adjust(target)
      await target.start()
      this.targets.push(target)
    }
  }

  /** Resolves when every daemon lists all instances of a version as ready. */
  async waitForTargets (service: string, version: string): Promise<void> {
    await Promise.all(this.daemons.map(async ({ id, ports }) => {
      await waitFor(`${id} to know ${service} ${version}`, async () => {
        const res = await request(`http://127.0.0.1:${ports.admin}/status`)
        const { targets } = await res.body.json() as { targets: { service: string, version: string, ready: number }[] }
        const ready = targets.filter((count) => count.service === service && count.version === version)
        return ready.reduce((sum, count) => sum + count.ready, 0) === INSTANCE_COUNT
      }, READY_TIMEOUT_MS)
    }))
  }

  /** Runs a `lentilwheel` command and prints the command and its output. */
  async runCli (...args: string[]): Promise<{ code: number | null, stdout: string }> {
    console.log(`\n$ lentilwheel ${args.join(' ')}`)
    const { code, stdout, stderr } = await this.group.runCli([...args, '--platform', this.platformUrl])
    process.stdout.write(stdout + stderr)
    return { code, stdout }
  }

  async stop (): Promise<void> {
    await Promise.all(this.targets.map(async (target) => await target.kill()))
    await this.group.stopAll()
    await this.platform.close()
  }
}

async function isOk (url: string): Promise<boolean> {
  const res = await request(url)
  await res.body.dump()
  return res.statusCode === 200
}
