import type { PlatformServer } from '@lentilwheel/testkit'
import { sumCounter, type Fleet } from '../fleet/fleet.js'

const PROBE_INTERVAL_MS = 1_000

/** Peaks of the platform's calls and of the daemons' control bytes, taken each second. */
export class RateProbe {
  peakReadsPerSec = 0
  peakWritesPerSec = 0
  peakBytesPerDaemonPerSec = 0
  readonly #fleet: Fleet
  readonly #platform: PlatformServer
  #timer: NodeJS.Timeout | undefined
  #reads = 0
  #writes = 0
  #bytes: number[] = []

  constructor (fleet: Fleet, platform: PlatformServer) {
    this.#fleet = fleet
    this.#platform = platform
    this.#reads = platform.counts.reads
    this.#writes = platform.counts.writes
  }

  start (): void {
    this.#timer = setInterval(() => { this.#probe().catch(() => {}) }, PROBE_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  async #probe (): Promise<void> {
    const { reads, writes } = this.#platform.counts
    this.peakReadsPerSec = Math.max(this.peakReadsPerSec, reads - this.#reads)
    this.peakWritesPerSec = Math.max(this.peakWritesPerSec, writes - this.#writes)
    this.#reads = reads
    this.#writes = writes
    const counters = await this.#fleet.counters()
    counters.forEach((values, i) => {
      const bytes = sumCounter(values, 'mesh.bytes_sent')
      const before = this.#bytes[i]
      if (values === undefined) return
      // A restarted daemon counts from zero again.
      if (before !== undefined && bytes >= before) {
        this.peakBytesPerDaemonPerSec = Math.max(this.peakBytesPerDaemonPerSec, bytes - before)
      }
      this.#bytes[i] = bytes
    })
  }
}
