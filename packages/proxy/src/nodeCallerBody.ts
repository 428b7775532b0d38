import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'

/** The request body is larger than the service allows. */
export class BodyTooLarge extends Error {
  readonly code = 'body-too-large'
}

/** Bytes read from a caller's body over all attempts of the call. */
export interface BodyProgress {
  consumedBytes: number
  readonly maxBytes: number
}

/**
 * Streams a caller's body to a target. The caller's request isn't given to undici itself, because undici destroys the
 * body of a failed request, which would close the caller's connection before it gets a response.
 */
export class CallerBody extends Readable {
  readonly #req: IncomingMessage
  readonly #progress: BodyProgress
  #isAttached = false

  constructor (req: IncomingMessage, progress: BodyProgress) {
    super()
    this.#req = req
    this.#progress = progress
  }

  override _read (): void {
    if (!this.#isAttached) this.#attach()
    this.#req.resume()
  }

  override _destroy (err: Error | null, callback: (err?: Error | null) => void): void {
    this.#req.off('data', this.#onData)
    this.#req.off('end', this.#onEnd)
    callback(err)
  }

  #attach (): void {
    this.#isAttached = true
    this.#req.on('data', this.#onData)
    this.#req.on('end', this.#onEnd)
  }

  readonly #onData = (chunk: Buffer): void => {
    this.#progress.consumedBytes += chunk.length
    if (this.#progress.consumedBytes > this.#progress.maxBytes) this.destroy(new BodyTooLarge('request body too large'))
    else if (!this.push(chunk)) this.#req.pause()
  }

  readonly #onEnd = (): void => { this.push(null) }
}
