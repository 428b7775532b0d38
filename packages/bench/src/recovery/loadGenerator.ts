import { Agent, request } from 'undici'
import type { Random } from '@lentilwheel/core'
import type { DaemonFleet } from '../fleet/daemonFleet.js'

const CALL_INTERVAL_MS = 50
const CALL_TIMEOUT_MS = 4_000

/** Sends calls through random daemons while a fault is injected, and counts the calls that failed. */
export class LoadGenerator {
  sent = 0
  failed = 0
  readonly #agent = new Agent()
  readonly #fleet: DaemonFleet
  readonly #random: Random
  #timer: NodeJS.Timeout | undefined

  constructor (fleet: DaemonFleet, random: Random) {
    this.#fleet = fleet
    this.#random = random
  }

  start (): void {
    this.#timer = setInterval(() => {
      this.sent++
      this.#call().catch(() => { this.failed++ })
    }, CALL_INTERVAL_MS)
  }

  async stop (): Promise<void> {
    clearInterval(this.#timer)
    await this.#agent.close()
  }

  /** Retries through another random daemon while the connection is refused or the response says that no target ran the call. */
  async #call (): Promise<void> {
    for (;;) {
      const daemon = this.#random.pick(this.#fleet.daemons)
      const outcome = await this.#attempt(daemon.ports.proxy)
      if (outcome === 'answered') return
      if (outcome === 'failed') throw new Error('call failed')
      await new Promise((resolve) => setTimeout(resolve, CALL_INTERVAL_MS))
    }
  }

  async #attempt (port: number): Promise<'answered' | 'notRun' | 'failed'> {
    try {
      const res = await request(`http://127.0.0.1:${port}/service0/1/x`, {
        dispatcher: this.#agent, headersTimeout: CALL_TIMEOUT_MS, bodyTimeout: CALL_TIMEOUT_MS
      })
      await res.body.dump()
      if (res.statusCode === 200) return 'answered'
      return res.headers['x-lentilwheel-not-run'] === '1' ? 'notRun' : 'failed'
    } catch (err) {
      return (err as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'notRun' : 'failed'
    }
  }
}
