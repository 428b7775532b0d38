import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'

/** The request body is larger than the service allows. */
export class BodyTooLarge extends Error {
  readonly code = 'body-too-large'
}

/** Counts what was taken from a caller's body, over all attempts of the call. */
export interface BodyProgress {
  taken: number
  readonly maxBytes: number
}

/**
 * Streams a caller's body to a target. It stands between the two because undici destroys the body of a failed
 * request, and destroying the request itself would close the caller's connection before it was answered.
 */
export class CallerBody extends Readable {
  readonly #req: IncomingMessage
  readonly #progress: BodyProgress
  #attached = false

  constructor (req: IncomingMessage, progress: BodyProgress) {
    super()
    this.#req = req
    this.#progress = progress
  }

  override _read (): void {
    if (!this.#attached) this.#attach()
    this.#req.resume()
  }

  override _destroy (err: Error | null, callback: (err?: Error | null) => void): void {
    this.#req.off('data', this.#onData)
    this.#req.off('end', this.#onEnd)
    callback(err)
  }

  #attach (): void {
    this.#attached = true
    this.#req.on('data', this.#onData)
    this.#req.on('end', this.#onEnd)
  }

  readonly #onData = (chunk: Buffer): void => {
    this.#progress.taken += chunk.length
    if (this.#progress.taken > this.#progress.maxBytes) this.destroy(new BodyTooLarge('request body too large'))
    else if (!this.push(chunk)) this.#req.pause()
  }

  readonly #onEnd = (): void => { this.push(null) }
}
