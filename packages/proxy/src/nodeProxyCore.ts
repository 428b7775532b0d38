import type { ServerResponse } from 'node:http'
import type { Random, Timers } from '@lentilwheel/core'
import { NOT_RUN_HEADER, REFUSAL_HEADER } from './constants.js'
import type { ProxyCounters } from './counters.js'
import type { ProxyCallObserver, TrafficShare } from './observer.js'
import type { Refusal } from './requests/refusal.js'

/** What every call of one proxy shares. */
export interface ProxyCore {
  readonly timers: Timers
  readonly random: Random
  readonly counters: ProxyCounters
  readonly observer: ProxyCallObserver | undefined
  readonly shareOf: (service: string) => TrafficShare | undefined
  /** Answers tell callers to connect elsewhere. */
  draining: boolean
}

/** Answers a call without a target; says that it wasn't run only where that is true. */
export function refuse (res: ServerResponse, refusal: Refusal, opts: { notRun: boolean, close: boolean }): void {
  const body = `${refusal.reason}\n`
  const headers = [
    REFUSAL_HEADER, refusal.code, 'content-type', 'text/plain', 'content-length', String(body.length)
  ]
  if (opts.notRun) headers.push(NOT_RUN_HEADER, '1')
  if (opts.close) headers.push('connection', 'close')
  res.writeHead(refusal.status, headers)
  res.end(body)
}
