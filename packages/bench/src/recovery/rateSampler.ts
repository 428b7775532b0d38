import type { FakePlatformServer } from '@lentilwheel/testkit'
import { sumCounter, type DaemonFleet } from '../fleet/daemonFleet.js'

const SAMPLE_INTERVAL_MS = 1_000

/** Samples the platform's reads and writes and the bytes of mesh messages each second, and keeps the peaks. */
export class RateSampler {
  peakReadsPerSec = 0
  peakWritesPerSec = 0
  peakBytesPerDaemonPerSec = 0
  readonly #fleet: DaemonFleet
  readonly #platform: FakePlatformServer
  #timer: NodeJS.Timeout | undefined
  #lastReads = 0
  #lastWrites = 0
  #lastBytes: number[] = []

  constructor (fleet: DaemonFleet, platform: FakePlatformServer) {
    this.#fleet = fleet
    this.#platform = platform
    this.#lastReads = platform.counts.reads
    this.#lastWrites = platform.counts.writes
  }

  start (): void {
    this.#timer = setInterval(() => { this.#sample().catch(() => {}) }, SAMPLE_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  async #sample (): Promise<void> {
    const { reads, writes } = this.#platform.counts
    this.peakReadsPerSec = Math.max(this.peakReadsPerSec, reads - this.#lastReads)
    this.peakWritesPerSec = Math.max(this.peakWritesPerSec, writes - this.#lastWrites)
    this.#lastReads = reads
    this.#lastWrites = writes
    const counters = await this.#fleet.counters()
    counters.forEach((values, i) => {
      const bytes = sumCounter(values, 'mesh.bytes_sent')
      const last = this.#lastBytes[i]
      if (values === undefined) return
      // A restarted daemon starts its counters at zero.
      if (last !== undefined && bytes >= last) {
        this.peakBytesPerDaemonPerSec = Math.max(this.peakBytesPerDaemonPerSec, bytes - last)
      }
      this.#lastBytes[i] = bytes
    })
  }
}
