import type { Random } from '@lentilwheel/core'
import type { TrafficShare } from './observer.js'

/** The version that a call goes to; one that the new version fails, or has no target for, goes on to the old one. */
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
