import { EventLog, MemoryMetrics, SeededRandom, VirtualTimers, type EventType } from '@lentilwheel/core'
import { createChange, checkConfig, toObjects, type ConfigInput } from '@lentilwheel/config'
import { acceptChange, accountKey, accountSchema, readHead, type Account } from '@lentilwheel/platform'
import { MeshNode } from '../../meshNode.js'
import type { MeshOptions } from '../../types.js'
import { MeshAuth } from '../../wire/meshAuth.js'
import { FakeHost } from './fakeHost.js'
import { FakeNetwork } from './fakeNetwork.js'
import { FakePlatform } from './fakePlatform.js'

/** One run of a daemon of the fleet. */
export interface FleetMember {
  index: number
  id: string
  address: string
  host: FakeHost
  mesh: MeshNode
  events: EventLog
  metrics: MemoryMetrics
  /** Versions in the order in which this run applied them. */
  versions: number[]
}

export interface FleetOptions {
  daemons: number
  dataCentres?: number
  seed?: number
  /** Indices of the daemons that are seeds of all. */
  seeds?: number[]
}

/** Fleet of real `MeshNode`s over a fake network and a fake platform, in virtual time. */
export class Fleet {
  readonly timers = new VirtualTimers()
  readonly random: SeededRandom
  readonly network: FakeNetwork
  readonly platform: FakePlatform
  readonly members: FleetMember[] = []
  readonly operator: FakeHost
  /** Times that a daemon was ready with an older version than one that it had served before in any of its runs. */
  reverts = 0
  /** Messages logged as errors, which only faults of the mesh itself cause. */
  readonly errors: string[] = []
  readonly #highestServed: number[] = []
  readonly #opts: Required<FleetOptions>
  #runs = 0
  #changes = 0

  constructor (opts: FleetOptions) {
    this.#opts = { dataCentres: 2, seed: 1, seeds: [0, 1, 2], ...opts }
    this.random = new SeededRandom(this.#opts.seed)
    this.network = new FakeNetwork(this.timers, this.random)
    this.platform = new FakePlatform(this.timers)
    this.operator = new FakeHost(this.timers)
  }

  /** Creates a fleet, starts all daemons and waits until they are ready with a first version. */
  static async ready (opts: FleetOptions): Promise<Fleet> {
    const fleet = new Fleet(opts)
    await fleet.apply(1)
    for (let i = 0; i < opts.daemons; i++) fleet.start(i)
    await fleet.until(() => fleet.live().every((member) => member.mesh.readiness().ready), 30_000, 'all ready')
    await fleet.run(3_000)
    return fleet
  }

  /** Starts or restarts the daemon of an index; a restart keeps only its id and address. */
  start (index: number, change: Partial<MeshOptions> = {}): FleetMember {
    const dataCentre = `dc${index % this.#opts.dataCentres}`
    const identity = { id: `d${index}`, address: '10.0.0.1', ports: { mesh: 1000 + index }, dataCentre, region: 'r' }
    const address = addressOf(index)
    const host = new FakeHost(this.timers)
    const events = new EventLog({ daemon: identity.id, timers: host })
    events.record('daemonStarted')
    const metrics = new MemoryMetrics()
    const opts: MeshOptions = {
      identity,
      seeds: this.#opts.seeds.map(addressOf),
      meshKey: 'key',
      platform: this.platform.client(host),
      timers: host,
      random: new SeededRandom(this.#opts.seed * 10_000 + this.#runs++),
      metrics,
      log: { info: () => {}, warn: () => {}, error: (msg, fields) => { this.errors.push(`${identity.id}: ${msg} ${String(fields?.['err'])}`) } },
      events,
      ...change
    }
    const mesh = new MeshNode(opts, this.network.transport(address, host, new MeshAuth(opts.meshKey)))
    const versions: number[] = []
    mesh.on({
      onSnapshot: (snapshot) => {
        versions.push(snapshot.version)
        if (mesh.readiness().ready) this.#recordServed(index, snapshot.version)
      },
      onReadiness: ({ ready }) => { if (ready) this.#recordServed(index, mesh.snapshot().version) }
    })
    const member = { index, id: identity.id, address, host, mesh, events, metrics, versions }
    this.members[index] = member
    mesh.start().catch(() => {})
    return member
  }

  kill (...indices: number[]): void {
    for (const index of indices) this.members[index]!.host.kill()
  }

  live (): FleetMember[] {
    return this.members.filter((member) => !member.host.isDead)
  }

  relays (): FleetMember[] {
    const relayIds = this.live()[0]!.mesh.members().filter((member) => member.isRelay).map((member) => member.id)
    return this.live().filter((member) => relayIds.includes(member.id))
  }

  async run (ms: number): Promise<void> {
    await this.timers.advanceAsync(ms)
  }

  /** Runs until the check holds; resolves with the virtual time that it took in milliseconds. */
  async until (check: () => boolean, limitMs: number, what: string): Promise<number> {
    const from = this.timers.now()
    while (!check()) {
      if (this.timers.now() - from >= limitMs) throw new Error(`not within ${limitMs} ms: ${what}`)
      await this.run(20)
    }
    return this.timers.now() - from
  }

  /** Runs until the promise is settled. */
  async awaitSettled<T> (promise: Promise<T>): Promise<T> {
    let done: { value: T } | { err: unknown } | undefined
    promise.then((value) => { done = { value } }, (err: unknown) => { done = { err } })
    await this.until(() => done !== undefined, 60_000, 'promise settled')
    if (done && 'err' in done) throw done.err
    return (done as { value: T }).value
  }

  /** Gets a configuration of `n` services accepted by the platform and resolves with its version. */
  async apply (n: number, id = `c${++this.#changes}`): Promise<number> {
    const client = this.platform.client(this.operator)
    return await this.awaitSettled((async () => {
      const base = await readHead(client)
      const change = createChange(base.head, toObjects(checkConfig(configOf(n))), { id, author: 'test', acceptedAt: 0 })
      return (await acceptChange(client, base, change)).version
    })())
  }

  /** Runs until the version or a newer one is active on all live daemons; resolves with the virtual time that it took. */
  async untilActive (version: number, limitMs = 10_000, except: readonly FleetMember[] = []): Promise<number> {
    return await this.until(
      () => this.live().every((member) => except.includes(member) || member.mesh.snapshot().version >= version), limitMs, `version ${version} active`
    )
  }

  #recordServed (index: number, version: number): void {
    const highest = this.#highestServed[index] ?? 0
    if (version < highest) this.reverts++
    this.#highestServed[index] = Math.max(highest, version)
  }

  /** Account of a data centre as stored on the platform. */
  account (dataCentre: string): Account | undefined {
    const stored = this.platform.store.get(accountKey(dataCentre))
    return stored && accountSchema.parse(JSON.parse(new TextDecoder().decode(stored.value)))
  }

  eventTypes (index: number): Set<EventType> {
    return new Set(this.members[index]!.events.since(0).map((event) => event.type))
  }
}

export function addressOf (index: number): string {
  return `10.0.0.1:${1000 + index}`
}

export function configOf (n: number): ConfigInput {
  const names = Array.from({ length: n }, (_, i) => `s${i}`)
  return {
    services: Object.fromEntries(names.map((name) => [name, { versions: ['v1', 'v2'], current: 'v1' }])),
    routes: Object.fromEntries(names.map((name) => [name, { service: name, path: `/${name}` }]))
  }
}
