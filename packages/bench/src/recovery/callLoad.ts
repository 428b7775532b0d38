import { Agent, request } from 'undici'
import type { Random } from '@lentilwheel/core'
import type { Fleet } from '../fleet/fleet.js'

const CALL_INTERVAL_MS = 50
const CALL_TIMEOUT_MS = 4_000

/** Sends calls through random daemons while faults are made, and counts those that no daemon answered. */
export class CallLoad {
  sent = 0
  failed = 0
  readonly #agent = new Agent()
  readonly #fleet: Fleet
  readonly #random: Random
  #timer: NodeJS.Timeout | undefined

  constructor (fleet: Fleet, random: Random) {
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

  /** A caller whose daemon refuses the connection, or says that the call was not run, goes to another daemon. */
  async #call (): Promise<void> {
    for (;;) {
      const daemon = this.#random.pick(this.#fleet.daemons)
      const answer = await this.#attempt(daemon.ports.proxy)
      if (answer === 'answered') return
      if (answer === 'failed') throw new Error('call failed')
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
