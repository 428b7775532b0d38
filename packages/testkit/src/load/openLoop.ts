import { performance } from 'node:perf_hooks'
import { build, type Histogram } from 'hdr-histogram-js'
import { SeededRandom } from '@lentilwheel/core'
import { RawConnection, type RawAnswer } from './rawConnection.js'

/** One stream of calls that runs beside others in the same load, such as the direct and the proxied one. */
export interface LoadStream {
  name: string
  /** Ports to call; each call goes to the next one. */
  ports: number[]
  path: string
  /** Calls a second. */
  rate: number
  /** POST bodies of this size; GET without one. */
  postBytes?: number
}

export interface LoadRequest {
  streams: LoadStream[]
  seconds: number
  /** Calls of this time at the beginning aren't measured. */
  warmupSeconds: number
  seed: number
}

export interface StreamResult {
  name: string
  calls: number
  failed: number
  /** Answers that were cut short or belong to another request. */
  truncated: number
  p50Ms: number
  p99Ms: number
  p999Ms: number
  /** The same for each slice of the load, so that disturbances from outside show as outliers. */
  slices: { p50Ms: number, p99Ms: number }[]
  /** Answers that came while the load ran, a second. */
  answeredPerSec: number
  /** Ids whose refusal said that they were not run. */
  saidNotRun: string[]
  statuses: Record<string, number>
}

const MAX_CONNECTIONS_PER_PORT = 256
const SLICE_MS = 2_000
/** Time for the last answers after the last call was sent. */
const LINGER_MS = 3_000

/**
 * Sends calls at times drawn beforehand, whether or not earlier ones were answered, and measures each from the time
 * at which it was due. The loop spins between calls: timers of whole milliseconds would be coarser than the figures.
 */
export class OpenLoop {
  readonly #req: LoadRequest
  readonly #streams: RunningStream[]

  constructor (req: LoadRequest) {
    this.#req = req
    this.#streams = req.streams.map((stream, i) => new RunningStream(stream, req.seed * 1000 + i))
  }

  async run (): Promise<StreamResult[]> {
    const start = performance.now()
    const measureFrom = start + this.#req.warmupSeconds * 1000
    const end = measureFrom + this.#req.seconds * 1000
    for (const stream of this.#streams) stream.begin(start, measureFrom, end)
    await new Promise<void>((resolve) => {
      const step = (): void => {
        const now = performance.now()
        let pending = 0
        for (const stream of this.#streams) {
          stream.sendDue(now)
          pending += stream.pending
        }
        if (now < end || (pending > 0 && now < end + LINGER_MS)) setImmediate(step)
        else resolve()
      }
      step()
    })
    return this.#streams.map((stream) => stream.finish(this.#req.seconds))
  }
}

class RunningStream {
  readonly #stream: LoadStream
  readonly #random: SeededRandom
  readonly #idle: RawConnection[][]
  readonly #open: number[]
  readonly #histogram = newHistogram()
  readonly #slices: Histogram[] = []
  readonly #body: Buffer | undefined
  readonly #saidNotRun: string[] = []
  readonly #statuses: Record<string, number> = {}
  readonly #connections = new Set<RawConnection>()
  pending = 0
  #nextAt = 0
  #measureFrom = 0
  #end = 0
  #sequence = 0
  #calls = 0
  #failed = 0
  #truncated = 0
  #answered = 0

  constructor (stream: LoadStream, seed: number) {
    this.#stream = stream
    this.#random = new SeededRandom(seed)
    this.#idle = stream.ports.map(() => [])
    this.#open = stream.ports.map(() => 0)
    if (stream.postBytes !== undefined) this.#body = Buffer.alloc(stream.postBytes, 'b')
  }

  begin (start: number, measureFrom: number, end: number): void {
    this.#nextAt = start
    this.#measureFrom = measureFrom
    this.#end = end
  }

  sendDue (now: number): void {
    while (this.#nextAt <= now && this.#nextAt < this.#end) {
      this.#send(this.#nextAt)
      this.#nextAt += -Math.log(1 - this.#random.next()) * 1000 / this.#stream.rate
    }
  }

  finish (seconds: number): StreamResult {
    for (const connection of this.#connections) connection.destroy()
    const ms = (percentile: number, of = this.#histogram): number => of.getValueAtPercentile(percentile) / 1000
    return {
      name: this.#stream.name,
      calls: this.#calls,
      failed: this.#failed + this.pending,
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
    const measured = dueAt >= this.#measureFrom
    if (measured) this.#calls++
    const connection = this.#connectionTo(index)
    if (!connection) {
      if (measured) this.#failed++
      return
    }
    this.pending++
    connection.send(this.#head(id), this.#body, (answer) => {
      this.pending--
      this.#giveBack(index, connection, answer)
      if (measured) this.#record(id, answer, dueAt)
    })
  }

  #head (id: string): string {
    const { path, postBytes } = this.#stream
    const method = postBytes === undefined ? 'GET' : 'POST'
    const length = postBytes === undefined ? '' : `content-length: ${postBytes}\r\n`
    return `${method} ${path} HTTP/1.1\r\nhost: load\r\nx-request-id: ${id}\r\naccept: */*\r\n${length}\r\n`
  }

  #connectionTo (index: number): RawConnection | undefined {
    const idle = this.#idle[index]!
    for (let connection = idle.pop(); connection; connection = idle.pop()) {
      if (!connection.closed) return connection
      this.#forget(index, connection)
    }
    if (this.#open[index]! >= MAX_CONNECTIONS_PER_PORT) return undefined
    const connection = new RawConnection(this.#stream.ports[index]!)
    this.#connections.add(connection)
    this.#open[index]!++
    return connection
  }

  #giveBack (index: number, connection: RawConnection, answer: RawAnswer): void {
    if (answer.complete && answer.keepAlive) {
      this.#idle[index]!.push(connection)
      return
    }
    connection.destroy()
    this.#forget(index, connection)
  }

  #forget (index: number, connection: RawConnection): void {
    if (this.#connections.delete(connection)) this.#open[index]!--
  }

  #record (id: string, answer: RawAnswer, dueAt: number): void {
    const now = performance.now()
    const us = Math.max(1, Math.round((now - dueAt) * 1000))
    this.#histogram.recordValue(us)
    const slice = Math.floor((dueAt - this.#measureFrom) / SLICE_MS)
    while (this.#slices.length <= slice) this.#slices.push(newHistogram())
    this.#slices[slice]!.recordValue(us)
    if (now <= this.#end) this.#answered++
    const status = String(answer.status)
    this.#statuses[status] = (this.#statuses[status] ?? 0) + 1
    if (answer.notRun) this.#saidNotRun.push(id)
    if (answer.status !== 200) this.#failed++
    else if (!answer.complete || !answer.bodyStart.includes(`"id":"${id}"`)) this.#truncated++
  }
}

function newHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
}
