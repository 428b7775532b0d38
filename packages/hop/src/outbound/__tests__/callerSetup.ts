import type { ExecutionContext } from 'ava'
import { connect, type Socket } from 'node:net'
import { VirtualTimers } from '@lentilwheel/core'
import { NO_LAG, TEST_HEADERS as names, unlimitedQueue } from '../../__tests__/fixtures.js'
import { BufferBudget } from '../../buffers/bufferBudget.js'
import { NoopCallLog } from '../../observe/callLog.js'
import type { CallMetrics } from '../../observe/callMetrics.js'
import { DEFAULT_CALLER_LIMITS, type CallerLimits } from '../callerLimits.js'
import type { OutboundHandler } from '../outboundHandler.js'
import { NodeOutboundServer } from '../nodeOutboundServer.js'
import type { Responder } from '../outboundTypes.js'

// A server for callers whose requests the test answers, and callers that write bytes to it.

const UNLIMITED = new BufferBudget(Infinity)
export const IDLE_MS = 2_000
const HEADER_MS = 1_000
export const POLL_MS = 10
export const MAX_POLLS = 1_000

/** A request that has been passed on and is answered by the test. */
export interface PassedOn {
  id: string
  res: Responder
  isCancelled: boolean
}

export interface Setup {
  server: NodeOutboundServer
  timers: VirtualTimers
  passedOn: PassedOn[]
  events: string[]
  connectCaller (opts?: { allowHalfOpen?: boolean }): Caller
}

/** A connection of a caller, and what it has received. */
export interface Caller {
  socket: Socket
  received: string
  isClosed: boolean
  /** Code of the error that ended the connection. */
  errorCode: string | undefined
}

export async function setUp (t: ExecutionContext, overrides: Partial<CallerLimits> = {}, budget = UNLIMITED, queue = unlimitedQueue()): Promise<Setup> {
  const passedOn: PassedOn[] = []
  const events: string[] = []
  const timers = new VirtualTimers()
  const metrics: CallMetrics = { request: () => {}, wait: () => {}, refusal: () => {}, rejection: () => {}, hedge: () => {}, event: (name) => { events.push(name) }, state: () => {}, text: async () => '' }
  const handler: Partial<OutboundHandler> = {
    handle: (req, res) => {
      const request: PassedOn = { id: req.head.requestId, res, isCancelled: false }
      passedOn.push(request)
      return () => { request.isCancelled = true }
    }
  }
  const server = new NodeOutboundServer({
    address: '127.0.0.1', port: 0, timers, handler: handler as OutboundHandler, log: new NoopCallLog(), metrics, names, lag: NO_LAG, queue, budget, callerLimits: { ...DEFAULT_CALLER_LIMITS, ...overrides }, originOf: () => 'caller'
  })
  server.setLimits({ maxHeaderBytes: 8_192, maxBodyBytes: 1_000_000, headerTimeoutMs: HEADER_MS, idleTimeoutMs: IDLE_MS })
  await server.listen()
  const callers: Caller[] = []
  t.teardown(() => {
    for (const { socket } of callers) socket.destroy()
    server.close()
  })
  const connectCaller = (opts: { allowHalfOpen?: boolean } = {}): Caller => {
    const caller: Caller = { socket: connect({ ...opts, port: server.port, host: '127.0.0.1' }), received: '', isClosed: false, errorCode: undefined }
    caller.socket.on('data', (bytes) => { caller.received += String(bytes) })
    caller.socket.on('error', (err: NodeJS.ErrnoException) => { caller.errorCode = err.code })
    caller.socket.on('close', () => { caller.isClosed = true })
    callers.push(caller)
    return caller
  }
  return { server, timers, passedOn, events, connectCaller }
}

export function requests (first: number, last: number): string {
  return Array.from({ length: last - first + 1 }, (_, i) => `GET /a/ HTTP/1.1\r\nHost: h\r\nx-id: r${first + i}\r\n\r\n`).join('')
}

export function answer ({ id, res }: PassedOn, body = `answer to ${id};`, unframed = false): void {
  res.respond({ kind: 'response', status: 200, headers: [], body: Buffer.from(body), unframed }, 1)
}

export function answeredIds (received: string): string[] {
  return [...received.matchAll(/answer to (r\d+);/g)].map(([, id]) => id!)
}

export function ids (first: number, last: number): string[] {
  return Array.from({ length: last - first + 1 }, (_, i) => `r${first + i}`)
}

export async function until (t: ExecutionContext, what: string, check: () => boolean): Promise<void> {
  for (let i = 0; i < MAX_POLLS; i++) {
    if (check()) return
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  }
  t.fail(`${what}: not reached`)
}
