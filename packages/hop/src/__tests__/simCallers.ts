import type { Random, VirtualTimers } from '@lentilwheel/core'
import type { ClassResult, LoadOptions } from './loadOptions.js'
import type { RequestClass } from './workloads.js'

/** Called at the end of a request. */
export type RequestDone = (ok: boolean, retryAfterMs?: number, isRejected?: boolean) => void

export interface SimCallersOptions {
  timers: VirtualTimers
  random: Random
  load: LoadOptions
  classes: readonly RequestClass[]
  /** Sends one request through a daemon; returns what cancels it. */
  send (cls: RequestClass, path: string, deadlineMs: number, done: RequestDone): () => void
}

/** A request of a caller, which may take several attempts. */
interface CallerRequest {
  cls: RequestClass
  path: string
  requestedAt: number
}

/** Simulates the callers of a workload in virtual time. */
export class SimCallers {
  readonly #opts: SimCallersOptions
  readonly #results = new Map<RequestClass, ClassResult>()
  /** Milliseconds until each response, by class. */
  readonly latencies = new Map<string, number[]>()

  constructor (opts: SimCallersOptions) {
    this.#opts = opts
    for (const cls of opts.classes) {
      this.latencies.set(cls.name, [])
      this.#results.set(cls, { requests: 0, onTime: 0, late: 0, rejected: 0, failed: 0, valueShare: 0, lateRejections: 0, servedAfterRejection: 0, onTimeAfterRejection: 0 })
    }
  }

  /** Begins to send the requests of all classes. */
  start (): void {
    for (const cls of this.#opts.classes) if (cls.ratePerS > 0) this.#schedule(cls)
  }

  /** Outcomes by class. */
  results (): Record<string, ClassResult> {
    return Object.fromEntries([...this.#results].map(([{ name, value, lateValue }, result]) => {
      const maxValue = result.requests * value
      return [name, { ...result, valueShare: maxValue > 0 ? (result.onTime * value + result.late * lateValue) / maxValue : 0 }]
    }))
  }

  /** Schedules the requests of a class as a Poisson process. */
  #schedule (cls: RequestClass): void {
    const { timers, random, load } = this.#opts
    const perMs = cls.ratePerS * load.rateAt(timers.now() / 1000) / 1000
    const delayMs = -Math.log(1 - random.next()) / perMs
    if (timers.now() + delayMs > load.seconds * 1000) return
    timers.after(delayMs, () => {
      this.#schedule(cls)
      this.#results.get(cls)!.requests++
      this.#attempt({ cls, path: load.pathOf?.(cls, timers.now() / 1000) ?? 'x', requestedAt: timers.now() }, cls.retries)
    })
  }

  /** One attempt of a caller, which retries as its class allows and waits for Retry-After, but no longer than a third of its time. */
  #attempt (req: CallerRequest, retries: number, rejections = 0): void {
    const { timers, send } = this.#opts
    const { cls, path, requestedAt } = req
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
    const cancel = send(cls, path, remainingMs, (ok, retryAfterMs, isRejected) => {
      if (isDone) return
      isDone = true
      stopDeadline()
      if (isRejected && timers.now() - startedAt > cls.targetLatencyMs / 4) result.lateRejections++
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

  #countSuccess ({ cls, requestedAt }: CallerRequest, rejections: number): void {
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
