// Starts daemons with the command of the deploy file as separate processes on loopback addresses, with settings like those of a small
// deployment, and ends them again.
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import net from 'node:net'
import os from 'node:os'
import path from 'node:path'
import { fileURLToPath } from 'node:url'

export const ROOT = fileURLToPath(new URL('../../', import.meta.url))
export const sleep = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

/** Bounds of the site kitaboshi-mesh. */
const BOUNDS = {
  seed_lag_s: 3, address_reuse_s: 2, stability_window_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, outer_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_budget_slack: 56, exposure_share: 0.1, exposure_slack: 50, rollback_ms: 5000, recovery_s: 15
}

async function isFree (address, port) {
  return await new Promise((resolve) => {
    const server = net.createServer()
    server.once('error', () => resolve(false))
    server.listen(port, address, () => server.close(() => resolve(true)))
  })
}

/** Ports that are free on all addresses: outbound, ready, control, target, and 16 for the daemons themselves. */
async function freePorts (addresses) {
  for (let tries = 0; tries < 200; tries++) {
    const first = 20_000 + Math.floor(Math.random() * 12_000)
    const checks = []
    for (const address of addresses) for (let port = first; port < first + 20; port++) checks.push(isFree(address, port))
    if ((await Promise.all(checks)).every(Boolean)) return first
  }
  throw new Error('no free ports')
}

export class Deployment {
  /** `machines`: [{ name, zone, service }]; `settings`: more or other fields of the settings. */
  static async create (machines, settings = {}) {
    const block = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`
    const addresses = machines.map((_, i) => `${block}.${10 + i}`)
    const storeAddress = `${block}.5`
    const first = await freePorts([...addresses, storeAddress])
    return new Deployment(machines, settings, addresses, storeAddress, first)
  }

  constructor (machines, settings, addresses, storeAddress, first) {
    this.dir = mkdtempSync(path.join(os.tmpdir(), 'review-'))
    this.store = { address: storeAddress, port: first }
    this.machines = machines.map((machine, i) => {
      const ip = addresses[i]
      const at = (offset) => ({ address: ip, port: first + offset })
      return { ...machine, ip, outbound: at(0), ready: at(1), control: at(2), app: at(3), hop: first + 4, ends: [], child: undefined, isWanted: false }
    })
    for (const machine of this.machines) {
      machine.file = path.join(this.dir, `${machine.name}.json`)
      writeFileSync(machine.file, JSON.stringify(this.#settings(machine, settings)))
    }
    const [, run] = /^run = "(.*)"$/m.exec(readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8'))
    this.command = run.split(' ')
  }

  #settings ({ name, zone, service, ip, outbound, ready, control, app, hop }, settings) {
    const text = ({ address, port }) => `${address}:${port}`
    const zones = Object.fromEntries(this.machines.map((machine) => [machine.zone, 'hokkaido']))
    return {
      node_name: name,
      role: 'daemon',
      machine_class: 'sidecar',
      serves: ['sidecar', 'control'],
      ip,
      zone,
      region: 'hokkaido',
      zones,
      listen: { inbound: `${ip}:${hop + 15}`, outbound: text(outbound), ready: text(ready), control: text(control) },
      internal_ports: [hop, hop + 14],
      seeds: [],
      bootstrap: true,
      in_fault_budget: false,
      limits: { cpu_share: 0.54, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0 },
      data_dir: null,
      discovery: 'static',
      entry: 'static',
      heartbeat_interval_ms: 1500,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'rollout', 'platform'],
      fault_tolerance: { machines: 2, zones: 0, regions: 0 },
      bounds: BOUNDS,
      app_address: text(app),
      service,
      platform: { address: text(this.store), form: 'objects', writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, min_ttl_ms: 1000 },
      ...settings
    }
  }

  /** Starts the daemon of a machine; one that ends by itself is started again after a short delay, as the platform does. */
  start (machine, { restarts = true } = {}) {
    machine.isWanted = true
    const [program, ...args] = this.command
    const child = spawn(program, args, {
      cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C.UTF-8', LENTILWHEEL_SETTINGS: machine.file }, stdio: ['ignore', 'pipe', 'pipe']
    })
    const log = createWriteStream(path.join(this.dir, `${machine.name}.log`), { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    machine.child = child
    machine.exited = new Promise((resolve) => child.once('exit', resolve))
    child.once('exit', (code, signal) => {
      machine.child = undefined
      machine.ends.push({ at: Date.now(), code, signal, isOwn: machine.isWanted })
      if (machine.isWanted && restarts) setTimeout(() => { if (machine.isWanted && !machine.child) this.start(machine) }, 500)
    })
  }

  /** Kills the daemon of a machine; it stays away until it is started again. */
  async kill (machine, signal = 'SIGKILL') {
    machine.isWanted = false
    machine.child?.kill(signal)
    await machine.exited
  }

  async whenReady (timeoutMs = 15_000, machines = this.machines) {
    const until = Date.now() + timeoutMs
    for (const machine of machines) {
      while (!await isReady(machine)) {
        if (Date.now() > until) throw new Error(`${machine.name} is not ready`)
        await sleep(100)
      }
    }
  }

  logOf (machine) {
    return readFileSync(path.join(this.dir, `${machine.name}.log`), 'utf8')
  }

  async end () {
    for (const machine of this.machines) await this.kill(machine)
    if (process.env.KEEP !== '1') rmSync(this.dir, { recursive: true, force: true })
  }
}

async function isReady ({ ready }) {
  try {
    const res = await fetch(`http://${ready.address}:${ready.port}/-/ready`, { signal: AbortSignal.timeout(1000) })
    await res.text()
    return res.status === 200
  } catch {
    return false
  }
}

/** A configuration as the operator writes it to config/main. */
export function configuration (version, { routes, services, limits = {} }) {
  const entry = (kind, name, spec) => ({ resource_kind: kind, metadata: { name }, spec })
  return {
    version: version.toString(16).padStart(8, '0'),
    resources: [
      ...routes.map(({ name, ...spec }) => entry('routes', name, spec)),
      ...services.map((name) => entry('services', name, { health_path: '/health', max_connections: 110 })),
      entry('limits', 'limits', { max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout_ms: 3000, idle_timeout_ms: 15000, ...limits })
    ]
  }
}
