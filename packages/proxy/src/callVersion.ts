import type { Random } from '@lentilwheel/core'
import type { TrafficShare } from './observer.js'

/**
 * The service version that a call is sent to. During a move, the share of the new version is the probability that it is
 * chosen. Such a call falls back to the old version when it is retried or the new version has no target.
 */
export class CallVersion {
  #name: string
  #fallback: string | undefined

  constructor (current: string, share: TrafficShare | undefined, random: Pick<Random, 'next'>) {
    const isNew = share !== undefined && random.next() < share.share
    this.#name = share ? (isNew ? share.to : share.from) : current
    this.#fallback = isNew ? share.from : undefined
  }

  get name (): string {
    return this.#name
  }

  fallBack (): void {
    this.#name = this.#fallback ?? this.#name
    this.#fallback = undefined
  }
}
