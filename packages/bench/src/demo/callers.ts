import { Agent, request } from 'undici'
import type { DaemonProcess } from '../processes.js'

/** Calls a second to each service. */
const CALLS_PER_SECOND = 200
const TICK_MS = 50

/** Calls of the demo by outcome. */
export interface CallCounts {
  sent: number
  answered: number
  /** Answered with an error status and not marked as not run. */
  failed: number
  /** Rejected by a daemon and marked as not run by any target. */
  notRun: number
  /** Answered with the response to another request. */
  wrongAnswer: number
  /** The connection failed or the response could not be read. */
  broken: number
}

/** Calls the showroom and orders services at a constant rate through all daemons in turn, and counts the outcomes. */
export class Callers {
  readonly counts: CallCounts = { sent: 0, answered: 0, failed: 0, notRun: 0, wrongAnswer: 0, broken: 0 }
  readonly #agent = new Agent()
  readonly #daemons: readonly DaemonProcess[]
  #timer: NodeJS.Timeout | undefined
  #inFlight = new Set<Promise<void>>()

  constructor (daemons: readonly DaemonProcess[]) {
    this.#daemons = daemons
  }

  start (): void {
    const perTick = CALLS_PER_SECOND * TICK_MS / 1000
    this.#timer = setInterval(() => {
      for (let i = 0; i < perTick; i++) {
        this.#send('GET', '/catalogue/wigs')
        this.#send('POST', '/orders')
      }
    }, TICK_MS)
  }

  /** Stops sending and waits for the calls in flight. */
  async stop (): Promise<void> {
    clearInterval(this.#timer)
    await Promise.all(this.#inFlight)
    await this.#agent.close()
  }

  #send (method: 'GET' | 'POST', path: string): void {
    const id = `r${this.counts.sent++}`
    const daemon = this.#daemons[this.counts.sent % this.#daemons.length]!
    const call = this.#call(method, `http://127.0.0.1:${daemon.ports.proxy}${path}`, id)
      .catch(() => { this.counts.broken++ })
      .finally(() => { this.#inFlight.delete(call) })
    this.#inFlight.add(call)
  }

  async #call (method: 'GET' | 'POST', url: string, id: string): Promise<void> {
    const res = await request(url, {
      dispatcher: this.#agent,
      method,
      headers: { 'x-request-id': id },
      ...(method === 'POST' ? { body: JSON.stringify({ wig: id }) } : {})
    })
    const text = await res.body.text()
    if (res.headers['x-lentilwheel-not-run'] === '1') {
      this.counts.notRun++
      return
    }
    if ((JSON.parse(text) as { id: string }).id !== id) this.counts.wrongAnswer++
    if (res.statusCode === 200) this.counts.answered++
    else this.counts.failed++
  }
}
