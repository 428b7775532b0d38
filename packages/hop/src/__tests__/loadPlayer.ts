import { SeededRandom, VirtualTimers, type Random } from '@lentilwheel/core'
import { Fleet } from '../fleet/fleet.js'
import type { PeerLink } from '../fleet/fleetTypes.js'
import type { HostRecord, TargetRecord } from '../fleet/records.js'
import { InboundDesk } from '../inbound/inboundDesk.js'
import type { TargetClient } from '../inbound/nodeTargetClient.js'
import type { TargetRequest } from '../inbound/nodeTargetConnection.js'
import type { HeaderNames, TargetResult } from '../inbound/targetResult.js'
import { NoCallLog } from '../observe/callLog.js'
import type { CallMetrics } from '../observe/callMetrics.js'
import { OutboundDesk } from '../outbound/outboundDesk.js'
import { Placer } from '../outbound/placer.js'
import { ResponseSizes } from '../outbound/responseSizes.js'
import { RetryBudget } from '../outbound/retryBudget.js'
import type { MeshConfig, MeshRoute } from '../routing/meshConfig.js'
import { RouteTable } from '../routing/routeTable.js'
import type { RequestClass, Sheet } from './sheets.js'

const names: HeaderNames = {
  requestId: 'x-id', deadline: 'x-deadline', expectedTarget: 'x-expected', notRun: 'x-not-run', load: 'x-load', callerService: 'x-caller', signature: 'x-sig'
}

export interface LoadOptions {
  seed: number
  seconds: number
  /** Multiplies the rate at a time of the play, in seconds. */
  rateAt (second: number): number
  /** Multiplies the work of a target at a time of the play. */
  slowness? (host: string, service: string, second: number): number
  /** Share of requests that a target fails. */
  failing? (host: string, service: string, second: number): number
  /** Share of requests that a target sheds at once. */
  shedding? (host: string, service: string, second: number): number
}

/** What the callers of one class got. */
export interface ClassResult {
  asked: number
  inTarget: number
  late: number
  refused: number
  failed: number
  /** Earned part of what was owed. */
  worth: number
  /** Refusals that came later than a quarter of the target latency. */
  lateRefusals: number
  /** Requests that were served to callers who had been refused once, and those of them within the target latency. */
  cameBack: number
  cameBackInTarget: number
}

/** The run that makes a call. */
interface Parent {
  id: string
  isRepeat: boolean
}

const WAY_MS = 1
const USUAL_BYTES = 100

interface SimHost {
  record: HostRecord
  fleet: Fleet
  inbound: InboundDesk
  outbound: OutboundDesk
  placer: Placer
}

/** Targets of the sheets: slots, a queue, speeds, and calls of their own. */
class SimTarget implements TargetClient {
  readonly #player: LoadPlayer
  readonly #host: string
  readonly #service: string
  readonly #slots: number
  readonly #speed: number
  readonly #random: Random
  running = 0

  constructor (player: LoadPlayer, host: string, service: string, slots: number, speed: number, random: Random) {
    this.#player = player
    this.#host = host
    this.#service = service
    this.#slots = slots
    this.#speed = speed
    this.#random = random
  }

  reset (): void {}

  send (request: TargetRequest, _idempotent: boolean, done: (result: TargetResult) => void): () => void {
    const { timers, opts } = this.#player
    const second = timers.now() / 1000
    const head = request.bytes.toString('latin1').split('\r\n')
    const isRepeat = this.#player.onArrival(this.#host, this.#service, request.requestId)
    const cls = this.#player.classOf(head[0]!.split(' ')[1]!)
    let isOver = false
    const end = (result: TargetResult): void => {
      if (isOver) return
      isOver = true
      this.running--
      stopDeadline()
      done(result)
    }
    this.running++
    if (this.running > this.#slots) throw new Error(`${this.#host} got more requests than it has slots`)
    const stopDeadline = timers.after(request.timeoutMs, () => end(response(504)))
    if (this.#random.next() < (opts.shedding?.(this.#host, this.#service, second) ?? 0)) {
      timers.after(1, () => end({ kind: 'notRun', reason: 'shed' }))
    } else {
      const tail = this.#random.next() < 0.01 ? 4 : 1
      const slowness = opts.slowness?.(this.#host, this.#service, second) ?? 1
      const spread = Math.exp(0.35 * gauss(this.#random))
      const work = cls.workMs * spread * tail * slowness / this.#speed
      const fails = this.#random.next() < (opts.failing?.(this.#host, this.#service, second) ?? 0)
      const parent = { id: request.requestId, isRepeat }
      timers.after(work, () => this.#makeCalls(cls, parent, () => isOver, (ok) => end(response(ok && !fails ? 200 : 500, cls.responseBytes))))
    }
    return () => end({ kind: 'failed', reason: 'cancelled' })
  }

  #makeCalls (cls: RequestClass, parent: Parent, isOver: () => boolean, done: (ok: boolean) => void): void {
    let left = cls.calls && this.#random.next() < cls.calls.share ? cls.calls.times : 0
    const next = (): void => {
      if (isOver()) return
      if (left-- <= 0) return done(true)
      this.#player.ask(this.#host, this.#player.classNamed(cls.calls!.class), parent, (ok) => ok ? next() : done(false))
    }
    next()
  }
}

/** Plays the load of a sheet against real desks of many daemons in virtual time, and tells what callers get. */
export class LoadPlayer {
  readonly timers = new VirtualTimers()
  readonly opts: LoadOptions
  readonly #sheet: Sheet
  readonly #random: Random
  readonly #hosts = new Map<string, SimHost>()
  readonly #results = new Map<string, ClassResult>()
  /** Requests for each service, and arrivals at its targets that count as repeats. */
  readonly counts = new Map<string, { requests: number, repeats: number }>()
  readonly #arrived = new Set<string>()
  readonly #idsOfRepeats = new Set<string>()
  /** Requests that reached a target, and those of them that did so in another data centre. */
  readonly ways = { all: 0, crossing: 0 }
  /** Bytes of bodies that crossed data centres, there and back, by class. */
  readonly crossingBytes = new Map<string, number>()
  /** Requests that each target got. */
  readonly arrivals = new Map<string, number>()
  #ids = 0

  constructor (sheet: Sheet, opts: LoadOptions) {
    this.#sheet = sheet
    this.opts = opts
    this.#random = new SeededRandom(Math.imul(opts.seed, 0x9e3779b1))
    for (const cls of sheet.classes) this.#results.set(cls.name, { asked: 0, inTarget: 0, late: 0, refused: 0, failed: 0, worth: 0, lateRefusals: 0, cameBack: 0, cameBackInTarget: 0 })
    this.#build()
  }

  classOf (url: string): RequestClass {
    return this.classNamed(url.split('/')[1]!)
  }

  classNamed (name: string): RequestClass {
    return this.#sheet.classes.find((cls) => cls.name === name)!
  }

  play (): Record<string, ClassResult> {
    for (const cls of this.#sheet.classes) if (cls.perS > 0) this.#schedule(cls)
    this.timers.advance(this.opts.seconds * 1000 + 5_000)
    const results: Record<string, ClassResult> = {}
    for (const cls of this.#sheet.classes) {
      const result = this.#results.get(cls.name)!
      const owed = result.asked * cls.worth
      result.worth = owed > 0 ? (result.inTarget * cls.worth + result.late * cls.lateWorth) / owed : 0
      results[cls.name] = result
    }
    return results
  }

  /** One request from a host; `done` tells whether it was answered with success. */
  ask (host: string, cls: RequestClass, parent: Parent | undefined, done: (ok: boolean, retryAfterMs?: number, refused?: boolean) => void, deadlineMs = cls.deadlineMs): () => void {
    const id = parent ? `${parent.id}.${++this.#ids}` : `r${++this.#ids}`
    const counts = this.#countsOf(cls.service)
    counts.requests++
    if (parent?.isRepeat) this.#idsOfRepeats.add(id)
    return this.#hosts.get(host)!.outbound.handle({
      method: cls.idempotent ? 'GET' : 'POST',
      url: `/${cls.name}/x`,
      head: { requestId: id, host: 'h', path: `/${cls.name}/x`, headers: [], deadlineMs },
      body: new Uint8Array(cls.requestBytes ?? 0),
      origin: this.#hosts.get(host)!.inbound.originOf(id)
    }, {
      answer: (reply) => done(reply.status === 200),
      refuse: (status, _reason, retryAfterMs) => done(false, retryAfterMs, status === 503)
    })
  }

  /** Counts an arrival at a target; true if the run is a repeat of another one. */
  onArrival (host: string, service: string, id: string): boolean {
    this.arrivals.set(host, (this.arrivals.get(host) ?? 0) + 1)
    const isAgain = this.#arrived.has(id)
    this.#arrived.add(id)
    if (isAgain || this.#idsOfRepeats.has(id)) this.#countsOf(service).repeats++
    return isAgain || this.#idsOfRepeats.has(id)
  }

  #crossed (cls: string, bytes: number): void {
    this.crossingBytes.set(cls, (this.crossingBytes.get(cls) ?? 0) + bytes)
  }

  #countsOf (service: string): { requests: number, repeats: number } {
    let counts = this.counts.get(service)
    if (!counts) this.counts.set(service, counts = { requests: 0, repeats: 0 })
    return counts
  }

  #build (): void {
    const config = this.#config()
    let n = 0
    for (const service of this.#sheet.services) {
      for (let i = 0; i < service.targets; i++) {
        const host = `h${String(++n).padStart(2, '0')}`
        const dataCentre = this.#sheet.dataCentres[i % this.#sheet.dataCentres.length]!
        this.#addHost(host, dataCentre, service, service.speeds[i % service.speeds.length]!)
      }
    }
    const records = [...this.#hosts.values()].map(({ record }) => record)
    for (const { fleet, placer, outbound } of this.#hosts.values()) {
      fleet.merge(records)
      placer.setHosts(records)
      outbound.setTable(new RouteTable(config))
    }
  }

  #addHost (host: string, dataCentre: string, service: Sheet['services'][number], speed: number): void {
    const { timers } = this
    const random = new SeededRandom(Math.imul(this.#random.int(1e9), 0x9e3779b1))
    const log = new NoCallLog()
    const target: TargetRecord = { id: `t-${host}`, service: service.name, version: 'v1', slots: service.slots, state: 'ready', coldMs: 0 }
    const record: HostRecord = { host, dataCentre, address: host, port: 1, incarnation: 1, sequence: 1, stopping: false, target }
    const fleet = new Fleet({
      own: record, timers, random, log, openLink: (peer) => this.#link(peer, dataCentre), onChange: () => {}, onPeerVersion: () => {}, onLeavings: () => {}, onFact: () => {}, orders: () => [], onOrder: () => {}, onReport: () => {}
    })
    const client = new SimTarget(this, host, service.name, service.slots, speed, random)
    const placer = new Placer({ timers, random, dataCentre, host })
    const inbound = new InboundDesk({
      timers, random, log, names, client, target: () => target, isOverdue: () => false, incarnation: () => 1, isVersionOpen: () => true, pressure: (called, priority) => placer.pressure(called, priority), onResult: () => {}
    })
    inbound.targetChanged()
    const budget = new RetryBudget({ ratio: 0.2, windowMs: 10_000, slack: 56 })
    const outbound = new OutboundDesk({
      timers, random, log, metrics: noMetrics, names, fleet, desk: inbound, placer, budget, sizes: new ResponseSizes(), versions: { choose: () => undefined }, callerService: () => service.name
    })
    this.#hosts.set(host, { record, fleet, inbound, outbound, placer })
  }

  #link (peer: string, dataCentre: string): PeerLink {
    const { timers } = this
    return {
      isUp: true,
      target: { address: peer, port: 1 },
      call: (message, _bulky, reply) => {
        let withdrawn = false
        const { inbound, record } = this.#hosts.get(peer)!
        const isCrossing = record.dataCentre !== dataCentre
        if (isCrossing) this.#crossed(message.route, message.body.length)
        timers.after(WAY_MS, () => {
          if (withdrawn) return
          inbound.offer(message, (answer) => {
            if (answer.kind === 'response') this.ways.all++
            if (answer.kind === 'response' && isCrossing) {
              this.ways.crossing++
              this.#crossed(message.route, answer.body.length)
            }
            timers.after(WAY_MS, () => { if (!withdrawn) reply(answer) })
          })
        })
        return () => {
          withdrawn = true
          timers.after(WAY_MS, () => inbound.cancel(message.key))
        }
      },
      sync: async (message) => message,
      config: async () => undefined,
      upkeep: () => {},
      close: () => {}
    }
  }

  #config (): MeshConfig {
    const routes: MeshRoute[] = this.#sheet.classes.map((cls) => ({
      name: cls.name, host: 'h', pathPrefix: `/${cls.name}/`, parts: [{ service: cls.service, weight: 1 }], idempotent: cls.idempotent, bulky: cls.bulky ?? false, timeoutMs: cls.timeoutMs, targetLatencyMs: cls.targetLatencyMs, priority: cls.priority, maxAttempts: 2
    }))
    return { version: 1, routes, services: new Map(), limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
  }

  #schedule (cls: RequestClass): void {
    const perMs = cls.perS * this.opts.rateAt(this.timers.now() / 1000) / 1000
    const wait = -Math.log(1 - this.#random.next()) / perMs
    if (this.timers.now() + wait > this.opts.seconds * 1000) return
    this.timers.after(wait, () => {
      this.#schedule(cls)
      const result = this.#results.get(cls.name)!
      result.asked++
      this.#attempt(this.#random.pick([...this.#hosts.keys()]), cls, this.timers.now(), cls.retries)
    })
  }

  #attempt (host: string, cls: RequestClass, since: number, retries: number, refusals = 0): void {
    const { timers } = this
    const result = this.#results.get(cls.name)!
    const startedAt = timers.now()
    const leftMs = since + cls.deadlineMs - startedAt
    let isOver = false
    const giveUp = timers.after(leftMs, () => {
      if (isOver) return
      isOver = true
      result.failed++
      leave()
    })
    const leave = this.ask(host, cls, undefined, (ok, retryAfterMs, refused) => {
      if (isOver) return
      isOver = true
      giveUp()
      const ms = timers.now() - since
      if (refused && timers.now() - startedAt > cls.targetLatencyMs / 4) result.lateRefusals++
      if (ok) {
        if (ms <= cls.targetLatencyMs) result.inTarget++
        else result.late++
        if (refusals === 1) result.cameBack++
        if (refusals === 1 && ms <= cls.targetLatencyMs) result.cameBackInTarget++
      } else if (retries > 0 && (refused || cls.idempotent)) {
        const pause = Math.min(retryAfterMs ?? 20, (since + cls.deadlineMs - timers.now()) / 3)
        timers.after(pause, () => this.#attempt(this.#random.pick([...this.#hosts.keys()]), cls, since, retries - 1, refusals + (refused ? 1 : 0)))
      } else if (refused) {
        result.refused++
      } else {
        result.failed++
      }
    }, leftMs)
  }
}

const noMetrics: CallMetrics = { request: () => {}, event: () => {}, state: () => {}, text: async () => '' }

function response (status: number, bytes = USUAL_BYTES): TargetResult {
  return { kind: 'response', status, headers: [], body: Buffer.alloc(bytes), unframed: false }
}

function gauss (random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
}
