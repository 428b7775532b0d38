export type Tags = Readonly<Record<string, string>>

/** Sink for counters, gauges and timings. Names and units are listed in docs/operators.md. */
export interface Metrics {
  count (name: string, n?: number, tags?: Tags): void
  gauge (name: string, value: number, tags?: Tags): void
  timing (name: string, ms: number, tags?: Tags): void
}

/** Discards all metrics. */
export class NoopMetrics implements Metrics {
  count (): void {}
  gauge (): void {}
  timing (): void {}
}

/** Keeps totals and latest gauges in memory, for the admin interface and for tests. Timings become a count and a sum. */
export class MemoryMetrics implements Metrics {
  readonly counters = new Map<string, number>()
  readonly gauges = new Map<string, number>()

  count (name: string, n = 1, tags?: Tags): void {
    const key = metricKey(name, tags)
    this.counters.set(key, (this.counters.get(key) ?? 0) + n)
  }

  gauge (name: string, value: number, tags?: Tags): void {
    this.gauges.set(metricKey(name, tags), value)
  }

  timing (name: string, ms: number, tags?: Tags): void {
    this.count(`${name}.n`, 1, tags)
    this.count(`${name}.ms`, ms, tags)
  }

  /** Sum of a counter over all its tags. */
  total (name: string): number {
    let sum = 0
    for (const [key, n] of this.counters) {
      if (key === name || key.startsWith(`${name}{`)) sum += n
    }
    return sum
  }
}

/** Forwards all metrics to several sinks. */
export class TeeMetrics implements Metrics {
  readonly #sinks: readonly Metrics[]

  constructor (...sinks: Metrics[]) {
    this.#sinks = sinks
  }

  count (name: string, n?: number, tags?: Tags): void {
    for (const sink of this.#sinks) sink.count(name, n, tags)
  }

  gauge (name: string, value: number, tags?: Tags): void {
    for (const sink of this.#sinks) sink.gauge(name, value, tags)
  }

  timing (name: string, ms: number, tags?: Tags): void {
    for (const sink of this.#sinks) sink.timing(name, ms, tags)
  }
}

/** `name{tag=value,...}` with sorted tags. */
function metricKey (name: string, tags?: Tags): string {
  if (!tags) return name
  return `${name}{${Object.entries(tags).map(([key, value]) => `${key}=${value}`).sort().join(',')}}`
}
