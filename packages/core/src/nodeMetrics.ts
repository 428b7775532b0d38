import { StatsD } from 'hot-shots'
import type { Metrics, Tags } from './metrics.js'

/** Sends metrics as DogStatsD datagrams over UDP; send errors are ignored. */
export class StatsdMetrics implements Metrics {
  readonly #client: StatsD

  constructor (opts: { host: string, port: number, tags: Tags }) {
    this.#client = new StatsD({
      host: opts.host,
      port: opts.port,
      prefix: 'lentilwheel.',
      globalTags: { ...opts.tags },
      maxBufferSize: 1200,
      errorHandler: () => {}
    })
  }

  count (name: string, n = 1, tags?: Tags): void {
    this.#client.increment(name, n, { ...tags })
  }

  gauge (name: string, value: number, tags?: Tags): void {
    this.#client.gauge(name, value, { ...tags })
  }

  timing (name: string, ms: number, tags?: Tags): void {
    this.#client.timing(name, ms, { ...tags })
  }

  close (): void {
    this.#client.close()
  }
}
