import type { Random, VirtualTimers } from '@lentilwheel/core'
import type { ClassResult, LoadOptions } from './loadOptions.js'
import { SimWorkspaces } from './simWorkspaces.js'
import type { RequestClass } from './workloads.js'

/** Called at the end of a request. */
export type RequestDone = (ok: boolean, retryAfterMs?: number, isRejected?: boolean) => void

export interface SimCallersOptions {
  timers: VirtualTimers
  random: Random
  load: LoadOptions
  classes: readonly RequestClass[]
  dataCentres: readonly string[]
  /** Sends one request through a daemon, of the data centre if one is given; returns what cancels it. */
  send (req: CallerRequest, deadlineMs: number, done: RequestDone): () => void
}

/** A request of a caller, which may take several attempts. */
export interface CallerRequest {
  cls: RequestClass
  path: string
  requestedAt: number
  /** Data centre of the caller; undefined for any. */
  dataCentre: string | undefined
  /** Number of the caller's workspace; undefined for none. */
  workspace: number | undefined
}

/** Simulates the callers of a workload in virtual time. */
export class SimCallers {
  readonly #opts: SimCallersOptions
  readonly workspaces: SimWorkspaces | undefined
  readonly #results = new Map<RequestClass, ClassResult>()
  /** Milliseconds until each response, by class. */
  readonly latencies = new Map<string, number[]>()

  constructor (opts: SimCallersOptions) {
    this.#opts = opts
    this.workspaces = opts.load.workspaces && new SimWorkspaces(opts.load.workspaces, opts.random)
    for (const cls of opts.classes) {
      this.latencies.set(cls.name, [])
      this.#results.set(cls, { requests: 0, onTime: 0, late: 0, rejected: 0, failed: 0, valueShare: 0, lateRejections: 0, servedAfterRejection: 0, onTimeAfterRejection: 0, rejectedAgain: 0 })
    }
  }

  /** Begins to send the requests of all classes. */
  start (): void {
    const { classes, load, dataCentres } = this.#opts
    const origins = load.dataCentreRateAt ? dataCentres : [undefined]
    for (const cls of classes) if (cls.ratePerS > 0) for (const origin of origins) this.#schedule(cls, origin)
  }

  /** Outcomes by class. */
  results (): Record<string, ClassResult> {
    return Object.fromEntries([...this.#results].map(([{ name, value, lateValue }, result]) => {
      const maxValue = result.requests * value
      return [name, { ...result, valueShare: maxValue > 0 ? (result.onTime * value + result.late * lateValue) / maxValue : 0 }]
    }))
  }

  /** Schedules the requests of a class, from the callers in a data centre or from all, as a Poisson process. */
  #schedule (cls: RequestClass, dataCentre: string | undefined): void {
    const { timers, random, load } = this.#opts
    const clumpSize = dataCentre === undefined ? 1 : load.clumpSize?.(dataCentre) ?? 1
    const perMs = this.#ratePerS(cls, dataCentre) / clumpSize / 1000
    const delayMs = -Math.log(1 - random.next()) / perMs
    if (timers.now() + delayMs > load.seconds * 1000) return
    timers.after(delayMs, () => {
      this.#schedule(cls, dataCentre)
      for (let i = 0; i < clumpSize; i++) this.#request(cls, dataCentre)
    })
  }

  #ratePerS (cls: RequestClass, dataCentre: string | undefined): number {
    const { timers, load, dataCentres } = this.#opts
    const second = timers.now() / 1000
    const ratePerS = cls.ratePerS * load.rateAt(second) * (this.workspaces?.rateFactor ?? 1)
    if (dataCentre === undefined || !load.dataCentreRateAt) return ratePerS
    return ratePerS / dataCentres.length * load.dataCentreRateAt(dataCentre, second)
  }

  #request (cls: RequestClass, dataCentre: string | undefined): void {
    const { timers, load } = this.#opts
    this.#results.get(cls)!.requests++
    const path = load.pathOf?.(cls, timers.now() / 1000) ?? 'x'
    this.#attempt({ cls, path, requestedAt: timers.now(), dataCentre, workspace: this.workspaces?.next() }, cls.retries)
  }

  /** One attempt of a caller, which retries as its class allows and waits for Retry-After, but no longer than a third of its time. */
  #attempt (req: CallerRequest, retries: number, rejections = 0): void {
    const { timers, send } = this.#opts
    const { cls, requestedAt } = req
    const result = this.#results.get(cls)!
    const startedAt = timers.now()
    const remainingMs = requestedAt + cls.deadlineMs - startedAt
    let isDone = false
    const stopDeadline = timers.after(remainingMs, () => {
      if (isDone) return
      isDone = true
      result.failed++
      cancel()
    })
    const cancel = send(req, remainingMs, (ok, retryAfterMs, isRejected) => {
      if (isDone) return
      isDone = true
      stopDeadline()
      if (isRejected && timers.now() - startedAt > cls.targetLatencyMs / 4) result.lateRejections++
      if (isRejected && rejections > 0) result.rejectedAgain++
      if (ok) {
        this.#countSuccess(req, rejections)
      } else if (retries > 0 && (isRejected || cls.idempotent)) {
        const waitMs = Math.min(retryAfterMs ?? 20, (requestedAt + cls.deadlineMs - timers.now()) / 3)
        timers.after(waitMs, () => this.#attempt(req, retries - 1, rejections + (isRejected ? 1 : 0)))
      } else if (isRejected) {
        result.rejected++
      } else {
        result.failed++
      }
    })
  }

  #countSuccess ({ cls, requestedAt, workspace }: CallerRequest, rejections: number): void {
    if (workspace !== undefined) this.workspaces!.recordServed(workspace)
    const result = this.#results.get(cls)!
    const ms = this.#opts.timers.now() - requestedAt
    const isOnTime = ms <= cls.targetLatencyMs
    this.latencies.get(cls.name)!.push(ms)
    if (isOnTime) result.onTime++
    else result.late++
    if (rejections === 1) result.servedAfterRejection++
    if (rejections === 1 && isOnTime) result.onTimeAfterRejection++
  }
}
