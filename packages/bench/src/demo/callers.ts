import { Agent, request } from 'undici'
import type { DaemonProcess } from '../processes.js'

/** Calls a second to each service. */
const CALLS_PER_SECOND = 200
const TICK_MS = 50

export interface CallCounts {
  sent: number
  answered: number
  /** Answered by the target with an error status. */
  failed: number
  /** Refused by a daemon, truthfully marked as not run. */
  notRun: number
  /** Answered with what belongs to another request. */
  wrongAnswer: number
  broken: number
}

/** Callers that browse the showroom and place orders through all daemons in turn. */
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
