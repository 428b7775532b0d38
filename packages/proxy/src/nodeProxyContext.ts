import type { ServerResponse } from 'node:http'
import type { Random, Timers } from '@lentilwheel/core'
import { NOT_RUN_HEADER, REFUSAL_HEADER } from './constants.js'
import type { ProxyCounters } from './counters.js'
import type { ProxyCallObserver, TrafficShare } from './observer.js'
import type { Rejection } from './requests/rejection.js'

/** State and services that all calls of one proxy share. */
export interface ProxyContext {
  readonly timers: Timers
  readonly random: Random
  readonly counters: ProxyCounters
  readonly observer: ProxyCallObserver | undefined
  readonly shareOf: (service: string) => TrafficShare | undefined
  /** While true, responses close the caller's connection, so that callers reconnect to another daemon. */
  isDraining: boolean
}

/** Sends a rejection as the response of a call; `notRun` tells the caller that no target ran the request. */
export function reject (res: ServerResponse, rejection: Rejection, opts: { notRun: boolean, close: boolean }): void {
  const body = `${rejection.reason}\n`
  const headers = [
    REFUSAL_HEADER, rejection.code, 'content-type', 'text/plain', 'content-length', String(body.length)
  ]
  if (opts.notRun) headers.push(NOT_RUN_HEADER, '1')
  if (opts.close) headers.push('connection', 'close')
  res.writeHead(rejection.status, headers)
  res.end(body)
}
