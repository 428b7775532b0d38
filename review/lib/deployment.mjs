import { spawn } from 'node:child_process'
import http from 'node:http'
import net from 'node:net'
import { mkdtempSync, readFileSync, rmSync, writeFileSync, appendFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import { Store } from './store.mjs'

export const ROOT = path.resolve(fileURLToPath(import.meta.url), '../../..')
/** Ports of each machine, as distances from the first one; the internal ones are the last sixteen. */
const OUTBOUND = 0
const READY = 1
const CONTROL = 2
const INBOUND = 3
const APP = 4
const INTERNAL = 5
const INTERNAL_COUNT = 16
const STORE_IP = '127.77.0.1'

/** Bounds of the small deployment in the users' pages. */
export const BOUNDS = {
  seed_lag_s: 3,
  address_reuse_s: 2,
  stability_window_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 6,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  outer_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  retry_budget_slack: 56,
  exposure_share: 0.1,
  exposure_slack: 50,
  rollback_ms: 5000,
  recovery_s: 15
}
export const BEAT_MS = 1500
export const LIMITS = { max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout_ms: 3000, idle_timeout_ms: 15000 }

export async function sleep (ms) {
  await new Promise((resolve) => { setTimeout(resolve, ms) })
}

/** Waits until a condition holds; fails after a time. */
export async function until (what, condition, timeoutMs = 15_000) {
  const end = Date.now() + timeoutMs
  while (!await condition()) {
    if (Date.now() > end) throw new Error(`not reached: ${what}`)
    await sleep(50)
  }
}

/** A few daemons as processes on loopback addresses, with a store stand-in. Instances are added by the case. */
export class Deployment {
  store = new Store()
  machines = []
  #dir = mkdtempSync(path.join(tmpdir(), 'lentilwheel-review-'))
  #recordFile
  #startedAt = Date.now()

  /** `machines`: `service` and `zone` of each; `recordFile`: gets one line for each event. */
  constructor (machines, recordFile) {
    this.#recordFile = recordFile
    writeFileSync(recordFile, '')
    this.machines = machines.map((machine, i) => ({ name: `m${String(i + 1).padStart(2, '0')}`, ip: `127.77.1.${i + 1}`, ...machine }))
  }

  record (text) {
    appendFileSync(this.#recordFile, `${((Date.now() - this.#startedAt) / 1000).toFixed(3).padStart(8)} ${text}\n`)
  }

  async start () {
    this.base = await freeBase([STORE_IP, ...this.machines.map(({ ip }) => ip)])
    await this.store.listen(this.base, STORE_IP)
    this.record(`store at ${STORE_IP}:${this.base}`)
    for (const machine of this.machines) {
      await machine.prepare?.(this, machine)
      this.startDaemon(machine)
    }
  }

  get ports () {
    return { outbound: this.base + OUTBOUND, ready: this.base + READY, control: this.base + CONTROL, app: this.base + APP }
  }

  /** Writes the settings file of a machine as the platform renders the template. */
  writeSettings (machine) {
    const { name, ip, zone, service, storeAddress } = machine
    const at = (offset) => `${ip}:${this.base + offset}`
    const zones = Object.fromEntries(this.machines.map((other) => [other.zone, 'region']))
    const settings = {
      node_name: name,
      role: 'daemon',
      machine_class: 'sidecar',
      serves: ['sidecar', 'control'],
      ip,
      zone,
      region: 'region',
      zones,
      listen: { inbound: at(INBOUND), outbound: at(OUTBOUND), ready: at(READY), control: at(CONTROL) },
      internal_ports: [this.base + INTERNAL, this.base + INTERNAL + INTERNAL_COUNT - 1],
      seeds: this.machines.slice(0, 3).map((seed) => `${seed.ip}:${this.base + CONTROL}`),
      bootstrap: true,
      in_fault_budget: false,
      limits: { cpu_share: 0.54, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0 },
      data_dir: null,
      discovery: 'static',
      entry: 'static',
      heartbeat_interval_ms: BEAT_MS,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'rollout', 'platform'],
      fault_tolerance: { machines: 2, zones: 0, regions: 0 },
      bounds: BOUNDS,
      app_address: at(APP),
      service,
      platform: {
        address: storeAddress ?? `${STORE_IP}:${this.base}`,
        form: 'objects',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1048576,
        min_ttl_ms: 1000
      }
    }
    const template = readFileSync(path.join(ROOT, 'deploy/settings.json.template'), 'utf8')
    const file = path.join(this.#dir, `${name}.json`)
    writeFileSync(file, template.replace('{{.|json}}', JSON.stringify(settings)))
    return file
  }

  /** Starts the daemon of a machine with the `run` line of the deploy file. */
  startDaemon (machine) {
    const file = this.writeSettings(machine)
    const run = /^run = "([^"]+)"$/m.exec(readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8'))[1]
    const [program, ...args] = run.split(' ')
    const { PATH, HOME, LANG } = process.env
    const env = { PATH, HOME, LANG, LENTILWHEEL_SETTINGS: file }
    machine.process = spawn(program, args, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'inherit'] })
    machine.log ??= ''
    machine.process.stdout.on('data', (chunk) => { machine.log += chunk })
    const { pid } = machine.process
    this.record(`${machine.name}: daemon started, process ${pid}`)
    machine.process.on('exit', (code, signal) => this.record(`${machine.name}: daemon ${pid} ended, code ${code}, signal ${signal}`))
  }

  kill (machine, signal = 'SIGKILL') {
    this.record(`${machine.name}: ${signal}`)
    machine.process.kill(signal)
  }

  /** Status of the readiness check of a daemon; 0 for none. */
  async readiness (machine) {
    return await new Promise((resolve) => {
      const req = http.get({ host: machine.ip, port: this.ports.ready, path: '/-/ready', timeout: 1_000, agent: false }, (res) => {
        res.resume()
        resolve(res.statusCode)
      })
      req.on('timeout', () => req.destroy())
      req.on('error', () => resolve(0))
    })
  }

  async untilReady (machines = this.machines) {
    for (const machine of machines) await until(`${machine.name} is ready`, async () => await this.readiness(machine) === 200)
    this.record('all daemons are ready')
  }

  /** Writes a configuration as the operator does; its time is that of the confirmation. */
  putConfig (version, routes, limits = LIMITS) {
    const services = [...new Set(this.machines.map(({ service }) => service))]
    const resources = [
      ...routes.map(({ name, ...spec }) => ({ resource_kind: 'routes', metadata: { name }, spec })),
      ...services.map((name) => ({ resource_kind: 'services', metadata: { name }, spec: { health_path: '/health', max_connections: 110, protocol: 'h1', tls: false } })),
      { resource_kind: 'limits', metadata: {}, spec: limits }
    ]
    this.store.put('config', 'main', { version: version.toString(16).padStart(8, '0'), base_version: '00000000', resources })
    this.record(`configuration ${version} confirmed`)
    return Date.now()
  }

  stop () {
    for (const { process: child } of this.machines) if (child?.exitCode === null) child.kill('SIGKILL')
    this.store.close()
    rmSync(this.#dir, { recursive: true, force: true })
  }
}

/** First of a range of ports that are free on all addresses. */
async function freeBase (ips) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const base = 20_000 + Math.floor(Math.random() * 400) * 25
    const isFree = await Promise.all(ips.flatMap((ip) => [...Array(INTERNAL + 2).keys()].map((offset) => canListen(ip, base + offset))))
    if (isFree.every(Boolean)) return base
  }
  throw new Error('no free ports')
}

async function canListen (ip, port) {
  return await new Promise((resolve) => {
    const server = net.createServer()
    server.once('error', () => resolve(false))
    server.listen(port, ip, () => server.close(() => resolve(true)))
  })
}
