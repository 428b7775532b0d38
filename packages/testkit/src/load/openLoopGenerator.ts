import { performance } from 'node:perf_hooks'
import { build, type Histogram } from 'hdr-histogram-js'
import { SeededRandom } from '@lentilwheel/core'
import { RawConnection, type RawResponse } from './rawConnection.js'

/** One of several concurrent streams of calls in a load, such as direct and proxied calls. */
export interface LoadStream {
  name: string
  /** Ports of the peer on loopback, called in turn. */
  ports: number[]
  path: string
  /** Average number of calls per second. */
  rate: number
  /** Size of the POST bodies; without it, calls are GET requests. */
  postBytes?: number
}

export interface LoadRequest {
  streams: LoadStream[]
  seconds: number
  /** Time at the beginning whose calls are not measured. */
  warmupSeconds: number
  seed: number
}

export interface StreamResult {
  name: string
  calls: number
  failed: number
  /** Responses with status 200 that were cut short or belong to another request. */
  truncated: number
  p50Ms: number
  p99Ms: number
  p999Ms: number
  /** The same for each 2 s of the load, so that external disturbances show as outliers. */
  slices: { p50Ms: number, p99Ms: number }[]
  /** Responses per second that arrived while the load ran. */
  answeredPerSec: number
  /** Ids of calls that were rejected with a statement that they were not run. */
  saidNotRun: string[]
  statuses: Record<string, number>
}

const MAX_CONNECTIONS_PER_PORT = 256
const SLICE_MS = 2_000
/** Longest wait for responses after the last call was sent. */
const FINAL_RESPONSES_MS = 3_000

/**
 * Open-loop load generator: sends calls at random times (a Poisson process) whether or not earlier ones were answered,
 * and measures each latency from the time at which the call was due, so that a slow peer doesn't slow down the load.
 * It polls with setImmediate, since timers with a resolution of 1 ms would be coarser than the measured latencies.
 */
export class OpenLoopGenerator {
  readonly #req: LoadRequest
  readonly #streams: StreamRunner[]

  constructor (req: LoadRequest) {
    this.#req = req
    this.#streams = req.streams.map((stream, i) => new StreamRunner(stream, req.seed * 1000 + i))
  }

  async run (): Promise<StreamResult[]> {
    const start = performance.now()
    const measureFrom = start + this.#req.warmupSeconds * 1000
    const end = measureFrom + this.#req.seconds * 1000
    for (const stream of this.#streams) stream.begin(start, measureFrom, end)
    await new Promise<void>((resolve) => {
      const sendAndReschedule = (): void => {
        const now = performance.now()
        let pendingCount = 0
        for (const stream of this.#streams) {
          stream.sendDue(now)
          pendingCount += stream.pendingCount
        }
        if (now < end || (pendingCount > 0 && now < end + FINAL_RESPONSES_MS)) setImmediate(sendAndReschedule)
        else resolve()
      }
      sendAndReschedule()
    })
    return this.#streams.map((stream) => stream.finish(this.#req.seconds))
  }
}

/** Sends the calls of one stream and collects its results. */
class StreamRunner {
  readonly #stream: LoadStream
  readonly #random: SeededRandom
  readonly #idleConnections: RawConnection[][]
  readonly #openCounts: number[]
  readonly #histogram = newHistogram()
  readonly #slices: Histogram[] = []
  readonly #body: Buffer | undefined
  readonly #saidNotRun: string[] = []
  readonly #statuses: Record<string, number> = {}
  readonly #connections = new Set<RawConnection>()
  pendingCount = 0
  #nextDueAt = 0
  #measureFrom = 0
  #endAt = 0
  #sequence = 0
  #calls = 0
  #failed = 0
  #truncated = 0
  #answered = 0

  constructor (stream: LoadStream, seed: number) {
    this.#stream = stream
    this.#random = new SeededRandom(seed)
    this.#idleConnections = stream.ports.map(() => [])
    this.#openCounts = stream.ports.map(() => 0)
    if (stream.postBytes !== undefined) this.#body = Buffer.alloc(stream.postBytes, 'b')
  }

  begin (start: number, measureFrom: number, end: number): void {
    this.#nextDueAt = start
    this.#measureFrom = measureFrom
    this.#endAt = end
  }

  sendDue (now: number): void {
    while (this.#nextDueAt <= now && this.#nextDueAt < this.#endAt) {
      this.#send(this.#nextDueAt)
      this.#nextDueAt += -Math.log(1 - this.#random.next()) * 1000 / this.#stream.rate
    }
  }

  finish (seconds: number): StreamResult {
    for (const connection of this.#connections) connection.destroy()
    const ms = (percentile: number, of = this.#histogram): number => of.getValueAtPercentile(percentile) / 1000
    return {
      name: this.#stream.name,
      calls: this.#calls,
      failed: this.#failed + this.pendingCount,
      truncated: this.#truncated,
      p50Ms: ms(50),
      p99Ms: ms(99),
      p999Ms: ms(99.9),
      slices: this.#slices.map((slice) => ({ p50Ms: ms(50, slice), p99Ms: ms(99, slice) })),
      answeredPerSec: this.#answered / seconds,
      saidNotRun: this.#saidNotRun,
      statuses: this.#statuses
    }
  }

  #send (dueAt: number): void {
    const sequence = ++this.#sequence
    const id = `${this.#stream.name}-${sequence}`
    const index = sequence % this.#stream.ports.length
    const isMeasured = dueAt >= this.#measureFrom
    if (isMeasured) this.#calls++
    const connection = this.#acquireConnection(index)
    if (!connection) {
      if (isMeasured) this.#failed++
      return
    }
    this.pendingCount++
    connection.send(this.#requestHead(id), this.#body, (response) => {
      this.pendingCount--
      this.#releaseConnection(index, connection, response)
      if (isMeasured) this.#recordResponse(id, response, dueAt)
    })
  }

  #requestHead (id: string): string {
    const { path, postBytes } = this.#stream
    const method = postBytes === undefined ? 'GET' : 'POST'
    const length = postBytes === undefined ? '' : `content-length: ${postBytes}\r\n`
    return `${method} ${path} HTTP/1.1\r\nhost: load\r\nx-request-id: ${id}\r\naccept: */*\r\n${length}\r\n`
  }

  #acquireConnection (index: number): RawConnection | undefined {
    const idle = this.#idleConnections[index]!
    for (let connection = idle.pop(); connection; connection = idle.pop()) {
      if (!connection.isClosed) return connection
      this.#forgetConnection(index, connection)
    }
    if (this.#openCounts[index]! >= MAX_CONNECTIONS_PER_PORT) return undefined
    const connection = new RawConnection(this.#stream.ports[index]!)
    this.#connections.add(connection)
    this.#openCounts[index]!++
    return connection
  }

  #releaseConnection (index: number, connection: RawConnection, response: RawResponse): void {
    if (response.isComplete && response.isKeepAlive) {
      this.#idleConnections[index]!.push(connection)
      return
    }
    connection.destroy()
    this.#forgetConnection(index, connection)
  }

  #forgetConnection (index: number, connection: RawConnection): void {
    if (this.#connections.delete(connection)) this.#openCounts[index]!--
  }

  #recordResponse (id: string, response: RawResponse, dueAt: number): void {
    const now = performance.now()
    const latencyUs = Math.max(1, Math.round((now - dueAt) * 1000))
    this.#histogram.recordValue(latencyUs)
    const slice = Math.floor((dueAt - this.#measureFrom) / SLICE_MS)
    while (this.#slices.length <= slice) this.#slices.push(newHistogram())
    this.#slices[slice]!.recordValue(latencyUs)
    if (now <= this.#endAt) this.#answered++
    const status = String(response.status)
    this.#statuses[status] = (this.#statuses[status] ?? 0) + 1
    if (response.isNotRun) this.#saidNotRun.push(id)
    if (response.status !== 200) this.#failed++
    else if (!response.isComplete || !response.bodyStart.includes(`"id":"${id}"`)) this.#truncated++
  }
}

function newHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
}
