import { connect } from 'node:net'
import http2, { type ClientHttp2Session, type ClientHttp2Stream } from 'node:http2'
import { errorCode, type Cancel, type Timers } from '@lentilwheel/core'
import { PeerLost } from '../errors.js'
import type { CallLog } from '../observe/callLog.js'
import { decode, decodeReply, encode, encodeCall } from './codec.js'
import type { PeerLink } from '../fleet/fleet.js'
import type { CallMessage, HopReply, SettleMessage, SyncMessage } from './messages.js'
import { MAX_CONCURRENT_STREAMS, PATHS, WINDOW_BYTES, WITHDRAWN } from './wire.js'

export interface PeerLinkOptions {
  host: string
  address: string
  port: number
  timers: Timers
  log: CallLog
  /** The peer was reached again or stopped answering. */
  onState (host: string, up: boolean): void
}

interface Pending {
  message: CallMessage
  reply: (reply: HopReply) => void
  deadlineAt: number
  brokenAt: number | undefined
  stream: ClientHttp2Stream | undefined
  ended: boolean
}

const CONNECT_TIMEOUT_MS = 700
/** A link with calls on it that has been silent this long is asked for a sign of life. */
const PROBE_AFTER_MS = 400
/** A link that has not answered for this long is given up. */
const SILENT_MS = 1_200
/** An idle link is asked for a sign of life this often. */
const IDLE_PROBE_MS = 3_000
const UPKEEP_MS = 200
/** Time in which a repeatable call whose link broke is settled; then it may as well be repeated. */
const SETTLE_IDEMPOTENT_MS = 500
const SETTLE_RETRY_MS = 100
const SETTLE_TIMEOUT_MS = 700
/** Pause before a peer that couldn't be reached is tried again. */
const MIN_RECONNECT_MS = 150
const MAX_RECONNECT_MS = 2_000

/** The link to one peer: calls over one HTTP/2 session, settled over the next one if it breaks. */
export class NodePeerLink {
  readonly host: string
  readonly #opts: PeerLinkOptions
  readonly #pending = new Set<Pending>()
  readonly #stopUpkeep: Cancel
  #session: ClientHttp2Session | undefined
  #connected = false
  #heardAt = 0
  #probedAt = 0
  #failures = 0
  #retryAt = 0
  #closed = false

  constructor (opts: PeerLinkOptions) {
    this.#opts = opts
    this.host = opts.host
    this.#stopUpkeep = opts.timers.every(UPKEEP_MS, () => this.#upkeep(), { jitter: 0.2 })
  }

  get isUp (): boolean {
    return this.#connected
  }

  get target (): { address: string, port: number } {
    return { address: this.#opts.address, port: this.#opts.port }
  }

  /** Offers a call; returns a function that withdraws it. */
  call (message: CallMessage, reply: (reply: HopReply) => void): () => void {
    const deadlineAt = this.#opts.timers.now() + message.deadlineMs
    const pending: Pending = { message, reply, deadlineAt, brokenAt: undefined, stream: undefined, ended: false }
    this.#pending.add(pending)
    this.#sendCall(pending)
    return () => this.#withdraw(pending)
  }

  /** One exchange that isn't a call; fails with PeerLost. */
  async exchange (path: string, message: object): Promise<Buffer> {
    return await new Promise((resolve, reject) => {
      const stop = this.#opts.timers.after(SETTLE_TIMEOUT_MS, () => {
        stream?.close(WITHDRAWN)
        reject(new PeerLost(`${this.host} did not answer ${path} in ${SETTLE_TIMEOUT_MS} ms`))
      })
      const stream = this.#request(path, encode(message), (body) => {
        stop()
        if (body) resolve(body)
        else reject(new PeerLost(`the link to ${this.host} broke`))
      })
    })
  }

  close (): void {
    this.#closed = true
    this.#stopUpkeep()
    this.#session?.close()
    for (const pending of this.#pending) this.#end(pending, { kind: 'failed', reason: 'lost' })
  }

  #sendCall (pending: Pending): void {
    let sent = false
    pending.stream = this.#request(PATHS.call, encodeCall(pending.message), (body) => {
      if (pending.ended) return
      if (body) return this.#onReply(pending, body)
      if (!sent && !this.#connected) return this.#end(pending, { kind: 'notRun', reason: 'unsent' })
      pending.brokenAt = this.#opts.timers.now()
      this.#settle(pending)
    }, () => { sent = true })
    if (!pending.stream && !pending.ended) this.#end(pending, { kind: 'notRun', reason: 'unsent' })
  }

  #onReply (pending: Pending, body: Buffer): void {
    try {
      this.#end(pending, decodeReply(body))
    } catch (err) {
      this.#opts.log.decision('badReply', { peer: this.host, code: errorCode(err) })
      this.#end(pending, { kind: 'failed', reason: 'lost' })
    }
  }

  #withdraw (pending: Pending): void {
    if (pending.ended) return
    pending.ended = true
    this.#pending.delete(pending)
    pending.stream?.close(WITHDRAWN)
  }

  #end (pending: Pending, reply: HopReply): void {
    if (pending.ended) return
    pending.ended = true
    this.#pending.delete(pending)
    pending.reply(reply)
  }

  /** Asks how a call ended whose link broke, until there is an answer or no use for one. */
  #settle (pending: Pending): void {
    if (pending.ended) return
    const now = this.#opts.timers.now()
    const { message } = pending
    const isFutile = message.idempotent ? now - pending.brokenAt! > SETTLE_IDEMPOTENT_MS : now > pending.deadlineAt
    if (isFutile || this.#closed) return this.#end(pending, { kind: 'failed', reason: 'lost' })
    const again = (): void => { this.#opts.timers.after(SETTLE_RETRY_MS, () => this.#settle(pending)) }
    const settle: SettleMessage = { key: message.key, incarnation: message.incarnation }
    pending.stream = this.#request(PATHS.settle, encode(settle), (body) => {
      if (pending.ended) return
      if (body) this.#onReply(pending, body)
      else again()
    })
    if (!pending.stream) again()
  }

  /** Sends one message; `done` gets the whole reply, or nothing if the link broke before. */
  #request (path: string, payload: Buffer, done: (body: Buffer | undefined) => void, onSent?: () => void): ClientHttp2Stream | undefined {
    const session = this.#open()
    if (!session) {
      done(undefined)
      return undefined
    }
    const stream = session.request({ ':method': 'POST', ':path': path })
    const chunks: Buffer[] = []
    let status = 0
    let ended = false
    const finish = (body: Buffer | undefined): void => {
      if (ended) return
      ended = true
      done(body)
    }
    stream.on('response', (headers) => { status = Number(headers[':status']) })
    stream.on('data', (chunk: Buffer) => {
      this.#heardAt = this.#opts.timers.now()
      chunks.push(chunk)
    })
    stream.on('end', () => { if (status === 200 && chunks.length > 0) finish(Buffer.concat(chunks)) })
    stream.on('error', () => finish(undefined))
    stream.on('close', () => finish(undefined))
    if (this.#connected) onSent?.()
    else session.once('connect', () => onSent?.())
    stream.end(payload)
    return stream
  }

  #open (): ClientHttp2Session | undefined {
    if (this.#closed) return undefined
    if (this.#session && !this.#session.destroyed && !this.#session.closed) return this.#session
    const now = this.#opts.timers.now()
    if (now < this.#retryAt) return undefined
    return this.#connect(now)
  }

  #connect (now: number): ClientHttp2Session {
    const { address, port, timers } = this.#opts
    const session = http2.connect(`http://${address}:${port}`, {
      settings: { initialWindowSize: WINDOW_BYTES, enablePush: false },
      peerMaxConcurrentStreams: MAX_CONCURRENT_STREAMS,
      createConnection: () => connect({ host: address, port, noDelay: true })
    })
    this.#session = session
    this.#connected = false
    this.#heardAt = now
    this.#probedAt = now
    session.setMaxListeners(0)
    const stop = timers.after(CONNECT_TIMEOUT_MS, () => { if (!this.#connected) session.destroy() })
    session.on('connect', () => {
      stop()
      session.setLocalWindowSize(WINDOW_BYTES)
      this.#heardAt = timers.now()
      this.#connected = true
      this.#failures = 0
      this.#opts.onState(this.host, true)
    })
    session.on('error', (err) => {
      this.#opts.log.decision('linkError', { peer: this.host, reason: err.message })
    })
    session.on('close', () => {
      stop()
      if (this.#session === session) this.#onClosed()
    })
    return session
  }

  #onClosed (): void {
    this.#session = undefined
    const wasUp = this.#connected
    this.#connected = false
    if (!wasUp) this.#failures++
    const pause = wasUp ? 0 : Math.min(MAX_RECONNECT_MS, MIN_RECONNECT_MS * 2 ** Math.min(this.#failures - 1, 6))
    this.#retryAt = this.#opts.timers.now() + pause
    if (!this.#closed) this.#opts.onState(this.host, false)
  }

  /** Keeps the link open and notices when the peer falls silent. */
  #upkeep (): void {
    const now = this.#opts.timers.now()
    const session = this.#open()
    if (!session || !this.#connected) return
    const silentMs = now - this.#heardAt
    if (this.#probedAt > this.#heardAt && now - this.#probedAt > SILENT_MS - PROBE_AFTER_MS && silentMs > SILENT_MS) {
      this.#opts.log.decision('linkSilent', { peer: this.host, silentMs: Math.round(silentMs), calls: this.#pending.size })
      session.destroy()
      return
    }
    if (silentMs < (this.#pending.size > 0 ? PROBE_AFTER_MS : IDLE_PROBE_MS) || this.#probedAt > this.#heardAt) return
    this.#probedAt = now
    try {
      session.ping((err) => { if (!err) this.#heardAt = this.#opts.timers.now() })
    } catch (err) {
      this.#opts.log.decision('linkError', { peer: this.host, reason: (err as Error).message })
    }
  }
}

/** Opens a link in the form in which the fleet uses it. */
export function openPeerLink (opts: PeerLinkOptions): PeerLink {
  const link = new NodePeerLink(opts)
  return {
    get isUp () { return link.isUp },
    target: link.target,
    call: (message, reply) => link.call(message, reply),
    sync: async (message) => decode<SyncMessage>(await link.exchange(PATHS.sync, message), ['from', 'records', 'facts', 'orders', 'reports', 'digest']),
    config: async () => decode<object>(await link.exchange(PATHS.config, {}), []),
    close: () => link.close()
  }
}
