import type { Random } from '@lentilwheel/core'
import type { ConnectOutcome } from '../inbound/crashDetector.js'
import type { TargetClient } from '../inbound/nodeTargetClient.js'
import type { TargetRequest } from '../inbound/nodeTargetConnection.js'
import type { ReportedLoad, TargetResult, TargetStatement } from '../inbound/targetResult.js'
import type { LoadSimulator } from './loadSimulator.js'
import { SimNeighbours } from './simNeighbours.js'
import { DEFAULT_WORK_VARIATION, type RequestClass, type WorkVariation } from './workloads.js'

/** The running request that makes a nested call. */
export interface ParentRun {
  id: string
  isRetry: boolean
}

const DEFAULT_RESPONSE_BYTES = 100
/** Longest time from the start of a deadly request to the crash of its target. */
const MAX_FUSE_MS = 150

/** Simulated target: runs requests in its slots at its speed, makes their nested calls, and can be slow, fail or shed. */
export class SimTarget implements TargetClient {
  readonly #simulator: LoadSimulator
  readonly #host: string
  readonly #service: string
  readonly #slots: number
  readonly #speed: number
  readonly #random: Random
  readonly #neighbours: SimNeighbours | undefined
  running = 0
  #isDown = false
  /** Ends each request that runs here. */
  readonly #running = new Set<(result: TargetResult) => void>()

  constructor (simulator: LoadSimulator, host: string, service: string, slots: number, speed: number, random: Random) {
    this.#simulator = simulator
    this.#host = host
    this.#service = service
    this.#slots = slots
    this.#speed = speed
    this.#random = random
    this.#neighbours = simulator.opts.neighbours && new SimNeighbours(simulator.opts.neighbours, random)
  }

  tryConnect (done: (outcome: ConnectOutcome) => void): void {
    this.#simulator.timers.after(1, () => done(this.#isDown ? 'refused' : 'accepted'))
  }

  /** Ends at once with all that runs here, and is back after a time; false if it is gone already. */
  crash (downMs: number): boolean {
    if (this.#isDown) return false
    this.#isDown = true
    for (const finish of [...this.#running]) finish({ kind: 'failed', reason: 'reset' })
    this.#simulator.timers.after(downMs, () => {
      this.#isDown = false
      this.#simulator.onTargetStart(this.#host)
    })
    return true
  }

  reset (): void {}

  send (request: TargetRequest, _idempotent: boolean, done: (result: TargetResult) => void): () => void {
    const { timers, opts } = this.#simulator
    const second = timers.now() / 1000
    if (this.#isDown) {
      timers.after(1, () => done({ kind: 'notRun', reason: 'unreachable' }))
      return () => {}
    }
    const head = request.bytes.toString('latin1').split('\r\n')
    const url = head[0]!.split(' ')[1]!
    const isRetry = this.#simulator.onArrival(this.#host, this.#service, request.requestId)
    const cls = this.#simulator.classOf(url)
    let isDone = false
    const end = (status: number, bytes?: number): void => finish({ ...response(status, this.#statement(), bytes), ...this.#reported() })
    const finish = (result: TargetResult): void => {
      if (isDone) return
      isDone = true
      this.#running.delete(finish)
      this.running--
      stopDeadline()
      done(result)
    }
    this.#running.add(finish)
    this.running++
    if (this.running > this.#slots) throw new Error(`${this.#host} got more requests than it has slots`)
    const stopDeadline = timers.after(request.timeoutMs, () => end(504))
    if (opts.isDeadly?.(url)) {
      this.#simulator.deadlyArrivals.push(timers.now())
      timers.after(MAX_FUSE_MS * this.#random.next(), () => this.#simulator.crash(this.#host, true))
    } else if (this.#random.next() < (opts.shedding?.(this.#host, this.#service, second) ?? 0)) {
      timers.after(1, () => finish({ kind: 'notRun', reason: 'shed', statement: this.#statement() }))
    } else {
      const variation = variationFactor(cls.workVariation ?? DEFAULT_WORK_VARIATION, this.#random)
      const slowness = opts.slowness?.(this.#host, this.#service, second) ?? 1
      const ownMs = cls.workMs * variation * slowness / this.#speed
      const work = this.#neighbours?.elapsedMs(ownMs, timers.now()) ?? ownMs
      const isFailing = this.#random.next() < (opts.failing?.(this.#host, this.#service, second) ?? 0)
      const parent = { id: request.requestId, isRetry }
      timers.after(work, () => this.#makeCalls(cls, parent, () => isDone, (ok) => end(ok && !isFailing ? 200 : 500, cls.responseBytes)))
    }
    return () => finish({ kind: 'failed', reason: 'cancelled' })
  }

  /** What the target states of itself in a response that it sends now. */
  #statement (): TargetStatement {
    const { timers, opts } = this.#simulator
    const limitPerS = opts.limitPerS?.(this.#host, this.#service, timers.now() / 1000) ?? Infinity
    this.#simulator.onStatement(this.#host, limitPerS)
    return { limitPerS, isLeaving: false }
  }

  /** The load that it reports in a response, if it reports how much its machine slows it down. */
  #reported (): { reported?: ReportedLoad } {
    const { timers, opts } = this.#simulator
    if (!this.#neighbours || !opts.neighbours?.isReported) return {}
    return { reported: { running: this.running, waiting: 0, slots: this.#slots, slowdown: this.#neighbours.slowdownAt(timers.now()) } }
  }

  #makeCalls (cls: RequestClass, parent: ParentRun, isDone: () => boolean, done: (ok: boolean) => void): void {
    let remainingCalls = cls.calls && this.#random.next() < cls.calls.share ? cls.calls.times : 0
    const next = (): void => {
      if (isDone()) return
      if (remainingCalls-- <= 0) return done(true)
      this.#simulator.sendRequest(this.#host, this.#simulator.classNamed(cls.calls!.class), parent, (ok) => ok ? next() : done(false))
    }
    next()
  }
}

function response (status: number, statement: TargetStatement, bytes = DEFAULT_RESPONSE_BYTES): TargetResult {
  return { kind: 'response', status, headers: [], body: Buffer.alloc(bytes), unframed: false, statement }
}

/** Work of a request as a multiple of the usual. */
function variationFactor ({ sigma, tailShare, tailFactor, isMean }: WorkVariation, random: Random): number {
  const tail = random.next() < tailShare ? tailFactor : 1
  const spread = Math.exp(sigma * standardNormal(random))
  const mean = isMean ? Math.exp(sigma * sigma / 2) : 1
  return spread * tail / mean
}

function standardNormal (random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
}
