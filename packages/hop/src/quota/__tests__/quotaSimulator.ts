import { rendezvousScore, SeededRandom, shuffled, TokenBucket, VirtualTimers, type Timers } from '@lentilwheel/core'
import { testHost } from '../../__tests__/fixtures.js'
import { NoopCallLog } from '../../observe/callLog.js'
import type { MeshWorkspace } from '../../routing/meshConfig.js'
import { FleetQuotaGate } from '../fleetQuotaGate.js'
import { quotaFleetView } from '../quotaFleetView.js'

export interface QuotaSimOptions {
  seed: number
  daemons?: number
  workspaces?: MeshWorkspace[]
  /** Share of messages that arrive late because a packet was lost. */
  lossShare?: number
}

/** What became of the requests of one workspace. */
export interface WorkspaceResult {
  requests: number
  granted: number
  exceeded: number
  unknown: number
  /** Requests that a single token bucket for the whole fleet would have granted. */
  within: number
  /** Times at which requests were granted. */
  grantedAt: number[]
}

/** What may be granted in any window: the quota, and that much more. */
const QUOTA_WINDOW_MS = 5_000
const QUOTA_OVERAGE = 0.1
const QUOTA_SLACK = 20
/** Demand of a workspace, as a part of its rate. */
const USUAL_DEMAND = 1 / 1.6
/** Milliseconds that a message takes, and those of one that had to be sent again. */
const DELAY_MS = { least: 0.8, spread: 2, resent: 220 }
/** Milliseconds until a link is noticed to be dead: of a host that is cut off, and of a process that ended. */
const CUT_NOTICED_MS = { least: 1_000, spread: 450 }
const KILL_NOTICED_MS = { least: 1, spread: 5 }
/** Milliseconds until a link is opened again. */
const RECONNECT_MS = { least: 50, spread: 350 }
/** Requests per second that one connection of a caller carries. */
const CONNECTION_PER_S = 12

/** Workspaces whose demand falls by Zipf's law with an exponent of 1.2, from about 400 requests a second to 2. */
export function unevenWorkspaces (count = 84): MeshWorkspace[] {
  return Array.from({ length: count }, (_, i) => {
    const ratePerS = Math.max(2, Math.round(400 / (i + 1) ** 1.2))
    return { name: `w${i}`, keyHashes: [], ratePerS, burst: ratePerS }
  })
}

/** A daemon, whose timers and messages wait while it is frozen. */
class SimDaemon implements Timers {
  readonly host: string
  readonly up = new Set<string>()
  readonly known = new Set<string>()
  /** It has said that it stops. */
  isDraining = false
  hasEnded = false
  gate!: FleetQuotaGate
  isFrozen = false
  /** Changes with each start, so that nothing of an earlier process goes on. */
  generation = 0
  readonly #timers: VirtualTimers
  #heldBack: (() => void)[] = []

  constructor (host: string, timers: VirtualTimers) {
    this.host = host
    this.#timers = timers
  }

  now (): number { return this.#timers.now() }
  wallNow (): number { return this.#timers.wallNow() }
  after (ms: number, fn: () => void): () => void { return this.#timers.after(ms, this.guard(fn)) }
  every (ms: number, fn: () => void): () => void { return this.#timers.every(ms, this.guard(fn)) }

  /** Runs a function only in the current process, and only when it isn't frozen. */
  guard<T extends unknown[]> (fn: (...args: T) => void): (...args: T) => void {
    const { generation } = this
    return (...args) => {
      if (generation !== this.generation) return
      if (this.isFrozen) this.#heldBack.push(() => fn(...args))
      else fn(...args)
    }
  }

  wake (): void {
    this.isFrozen = false
    for (const fn of this.#heldBack.splice(0)) fn()
  }
}

/** Quota gates of many daemons in virtual time, with message delays, lost links and callers that stay on few connections. */
export class QuotaSimulator {
  readonly timers = new VirtualTimers()
  readonly results = new Map<string, WorkspaceResult>()
  readonly daemons: SimDaemon[]
  readonly workspaces: Map<string, MeshWorkspace>
  /** Demand of a workspace in units of its usual one. */
  demandOf: (workspace: string) => number = () => 1
  readonly #random: SeededRandom
  readonly #opts: QuotaSimOptions
  readonly #cut = new Set<string>()
  readonly #connections = new Map<string, SimDaemon[]>()
  readonly #ideal = new Map<string, TokenBucket>()
  #messages = 0

  constructor (opts: QuotaSimOptions) {
    this.#opts = opts
    this.#random = new SeededRandom(opts.seed)
    this.workspaces = new Map((opts.workspaces ?? unevenWorkspaces()).map((workspace) => [workspace.name, workspace]))
    this.daemons = Array.from({ length: opts.daemons ?? 82 }, (_, i) => new SimDaemon(`host-${i}`, this.timers))
    for (const daemon of this.daemons) this.start(daemon)
  }

  /** Messages with questions sent so far. */
  get messages (): number { return this.#messages }

  /** Lets the callers send for a time. */
  run (seconds: number): void {
    if (this.results.size === 0) for (const workspace of this.workspaces.values()) this.#addCallers(workspace)
    this.timers.advance(seconds * 1000)
  }

  /** Counts only what comes from now on. */
  resetCounts (): void {
    for (const result of this.results.values()) Object.assign(result, { requests: 0, granted: 0, exceeded: 0, unknown: 0, within: 0 })
  }

  setLimit (name: string, ratePerS: number, burst: number): void {
    const workspace = { ...this.workspaces.get(name)!, ratePerS, burst }
    this.workspaces.set(name, workspace)
    this.#ideal.get(name)?.setLimits(this.timers.now(), ratePerS, burst)
  }

  lenderOf (workspace: string): SimDaemon {
    const score = ({ host }: SimDaemon): number => rendezvousScore(host, workspace)
    return this.daemons.reduce((best, daemon) => score(daemon) > score(best) ? daemon : best)
  }

  start (daemon: SimDaemon): void {
    const { host } = daemon
    daemon.generation++
    daemon.isDraining = false
    daemon.hasEnded = false
    daemon.up.clear()
    daemon.known.clear()
    daemon.known.add(host)
    daemon.up.add(host)
    const random = new SeededRandom(this.#opts.seed + daemon.generation * 1_000 + this.daemons.indexOf(daemon))
    daemon.gate = new FleetQuotaGate({
      own: host,
      timers: daemon,
      random,
      log: new NoopCallLog(),
      limitOf: (name) => this.workspaces.get(name),
      slack: QUOTA_SLACK,
      defer: (fn) => daemon.after(0, fn),
      send: (peer, message, done) => this.#send(daemon, this.#daemon(peer), (receiver, reply) => receiver.gate.onQuestions(message, reply), done),
      askReach: (peer, hosts, done) => this.#send(daemon, this.#daemon(peer), (receiver, reply) => reply(hosts.map((host) => receiver.up.has(host))), done)
    })
    for (const peer of this.daemons) if (peer !== daemon) this.#connect(daemon, peer)
  }

  /** Has a daemon tell the others that it stops; it ends with `kill`. */
  stop (daemon: SimDaemon): void {
    daemon.isDraining = true
    for (const viewer of this.daemons) this.timers.after(viewer === daemon ? 0 : this.#delay(), viewer.guard(() => this.#tellFleet(viewer)))
  }

  /** Ends the process of a daemon at once. */
  kill (daemon: SimDaemon): void {
    daemon.generation++
    daemon.hasEnded = true
    for (const peer of this.daemons) if (peer !== daemon) this.#loseLink(peer, daemon, KILL_NOTICED_MS)
  }

  /** Cuts the way between two daemons; the way back too, unless it is one-sided. */
  cut (a: SimDaemon, b: SimDaemon): void {
    for (const [from, to] of [[a, b], [b, a]] as const) {
      this.#cut.add(`${from.host} ${to.host}`)
      this.#loseLink(from, to, CUT_NOTICED_MS)
    }
  }

  heal (a: SimDaemon, b: SimDaemon): void {
    for (const [from, to] of [[a, b], [b, a]] as const) this.#cut.delete(`${from.host} ${to.host}`)
    this.#connect(a, b)
  }

  freeze (daemon: SimDaemon): void {
    daemon.isFrozen = true
    for (const peer of this.daemons) if (peer !== daemon) this.#loseLink(peer, daemon, CUT_NOTICED_MS)
  }

  wake (daemon: SimDaemon): void {
    daemon.wake()
    for (const peer of this.daemons) {
      if (peer === daemon) continue
      daemon.up.delete(peer.host)
      this.#connect(daemon, peer)
    }
    this.#tellFleet(daemon)
  }

  #daemon (host: string): SimDaemon {
    return this.daemons[Number(host.slice('host-'.length))]!
  }

  #between ({ least, spread }: { least: number, spread: number }): number {
    return least + this.#random.next() * spread
  }

  #delay (): number {
    return this.#between(DELAY_MS) + (this.#random.next() < (this.#opts.lossShare ?? 0) ? DELAY_MS.resent : 0)
  }

  #isCut (a: SimDaemon, b: SimDaemon): boolean {
    return this.#cut.has(`${a.host} ${b.host}`)
  }

  #loseLink (from: SimDaemon, to: SimDaemon, noticed: { least: number, spread: number }): void {
    const { generation } = to
    this.timers.after(this.#between(noticed), from.guard(() => {
      const isBack = to.generation !== generation || (!this.#isCut(from, to) && !to.isFrozen && !to.hasEnded)
      if (isBack || !from.up.delete(to.host)) return
      this.#tellFleet(from)
    }))
  }

  /** Both daemons notice that they can reach each other. */
  #connect (a: SimDaemon, b: SimDaemon): void {
    for (const [from, to] of [[a, b], [b, a]] as const) {
      this.timers.after(this.#between(RECONNECT_MS), from.guard(() => {
        from.known.add(to.host)
        if (!this.#isCut(from, to) && !to.hasEnded && !to.isFrozen) from.up.add(to.host)
        this.#tellFleet(from)
      }))
    }
  }

  #tellFleet (daemon: SimDaemon): void {
    const records = [...daemon.known].map((host) => ({ ...testHost(host), stopping: this.#daemon(host).isDraining }))
    daemon.gate.setFleet(quotaFleetView(records, { isUp: (host) => daemon.up.has(host), isRefused: (host) => this.#daemon(host).hasEnded && !this.#isCut(daemon, this.#daemon(host)) }))
  }

  /** Sends a message; `done` gets undefined when the sender notices that the link is lost. */
  #send<T> (from: SimDaemon, to: SimDaemon, deliver: (to: SimDaemon, reply: (value: T) => void) => void, done: (value: T | undefined) => void): void {
    this.#messages++
    let isDone = false
    const finish = from.guard((value: T | undefined) => {
      if (isDone) return
      isDone = true
      done(value)
    })
    const isLost = (): boolean => this.#isCut(from, to) || to.hasEnded
    if (isLost()) this.timers.after(this.#between(to.hasEnded ? KILL_NOTICED_MS : CUT_NOTICED_MS), () => finish(undefined))
    else {
      this.timers.after(this.#delay(), to.guard(() => {
        deliver(to, (value) => { this.timers.after(this.#delay(), () => { if (!isLost()) finish(value) }) })
      }))
      this.timers.after(CUT_NOTICED_MS.least + CUT_NOTICED_MS.spread, () => finish(undefined))
    }
  }

  #addCallers (workspace: MeshWorkspace): void {
    const { name, ratePerS, burst } = workspace
    this.results.set(name, { requests: 0, granted: 0, exceeded: 0, unknown: 0, within: 0, grantedAt: [] })
    this.#ideal.set(name, new TokenBucket({ perSecond: ratePerS, burst: Math.max(1, burst), now: this.timers.now() }))
    const count = Math.max(2, Math.ceil(ratePerS / CONNECTION_PER_S))
    this.#connections.set(name, shuffled([...this.daemons, ...this.daemons], this.#random).slice(0, count))
    const usualPerS = ratePerS * USUAL_DEMAND
    const next = (): void => {
      const perS = usualPerS * this.demandOf(name)
      this.timers.after(-Math.log(1 - this.#random.next()) / perS * 1000, () => {
        this.#request(name)
        next()
      })
    }
    next()
  }

  /** One request on a connection of the workspace; callers of a daemon that ended connect to another one. */
  #request (name: string): void {
    const connections = this.#connections.get(name)!
    const i = this.#random.int(connections.length)
    if (connections[i]!.hasEnded) connections[i] = this.#random.pick(this.daemons.filter((daemon) => !daemon.hasEnded))
    const daemon = connections[i]!
    const result = this.results.get(name)!
    const now = this.timers.now()
    if (daemon.isFrozen) return
    result.requests++
    if (this.#ideal.get(name)!.tryTake(now)) result.within++
    daemon.gate.admit(this.workspaces.get(name)!, ({ kind }) => {
      result[kind]++
      if (kind === 'granted') result.grantedAt.push(this.timers.now())
    })
  }
}

/** Most requests above the bound that were granted in any window that begins after `fromMs`; negative for none. */
export function worstExcess ({ grantedAt }: WorkspaceResult, { ratePerS, burst }: MeshWorkspace, fromMs = 0): number {
  const bound = (ratePerS * QUOTA_WINDOW_MS / 1000 + burst) * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
  let most = 0
  let first = 0
  for (const [i, at] of grantedAt.entries()) {
    while (grantedAt[first]! <= at - QUOTA_WINDOW_MS || grantedAt[first]! < fromMs) first++
    most = Math.max(most, i - first + 1)
  }
  return most - bound
}
