import type { Timers } from '@lentilwheel/core'
import { z } from 'zod'
import { decodeJson, encodeJson, type PlatformClient, type StoredObject } from './client.js'
import { PlatformConflict } from './errors.js'

/** What a lease object holds; its token rises with every new holder. */
export const leaseSchema = z.object({
  /** Id of the holder; empty when the lease was given back. */
  holder: z.string(),
  /** Mesh address of the holder, by which starting daemons find the mesh. */
  address: z.string(),
  token: z.int(),
  renewals: z.int()
})

export type LeaseValue = z.output<typeof leaseSchema>

export type LeaseStep = 'taken' | 'held' | 'busy' | 'lost'

export interface LeaseOptions {
  client: PlatformClient
  timers: Timers
  key: string
  holder: { id: string, address: string }
  ttlMs: number
}

export const LEASE_PREFIX = 'lease/'

export function leaseKey (dataCentre: string, slot: number): string {
  return `${LEASE_PREFIX}${dataCentre}/${slot}`
}

/**
 * A claim on one role. Expiry is judged by the observer: a lease is free when its revision stood still for the whole
 * term on the observer's own monotonic clock, so clocks of hosts are never compared.
 */
export class Lease {
  readonly #opts: LeaseOptions
  #seen: { revision: number, at: number, value: LeaseValue | undefined } | undefined
  #held: { revision: number, value: LeaseValue, until: number } | undefined

  constructor (opts: LeaseOptions) {
    this.#opts = opts
  }

  /** Holder as last read; undefined when the lease was free or never read. */
  get seenHolder (): string | undefined {
    return this.#seen?.value?.holder
  }

  /** Fencing token while held. */
  get token (): number | undefined {
    return this.isHeld() ? this.#held?.value.token : undefined
  }

  /** False once the term passed without a renewal, such as after a pause of this process. */
  isHeld (): boolean {
    return this.#held !== undefined && this.#opts.timers.now() < this.#held.until
  }

  /** Whether it was taken and has not been found lost since; it may have run out unnoticed. */
  get isClaimed (): boolean {
    return this.#held !== undefined
  }

  /** Renews when held, else tries to take; failures of the platform are thrown. */
  async step (): Promise<LeaseStep> {
    return this.#held ? await this.#renew(this.#held) : await this.#tryTake()
  }

  /** Gives the lease back so that a successor need not wait for its end. */
  async release (): Promise<void> {
    const held = this.#held
    this.#held = undefined
    if (!held) return
    const value: LeaseValue = { ...held.value, holder: '' }
    await this.#opts.client.put(this.#opts.key, encodeJson(value), { ifRevision: held.revision })
  }

  async #renew (held: { revision: number, value: LeaseValue }): Promise<LeaseStep> {
    const value = { ...held.value, renewals: held.value.renewals + 1 }
    const result = await this.#write(value, held.revision)
    if (result === 'conflict') {
      this.#held = undefined
      return 'lost'
    }
    return 'held'
  }

  async #tryTake (): Promise<LeaseStep> {
    const stored = await this.#opts.client.get(this.#opts.key)
    const now = this.#opts.timers.now()
    const value = stored && decodeLease(stored)
    if (this.#seen?.revision !== (stored?.revision ?? 0)) this.#seen = { revision: stored?.revision ?? 0, at: now, value }
    const isFree = !value || value.holder === '' || value.holder === this.#opts.holder.id
    if (!isFree && now - this.#seen.at < this.#opts.ttlMs) return 'busy'
    const { id: holder, address } = this.#opts.holder
    const claim: LeaseValue = { holder, address, token: (value?.token ?? 0) + 1, renewals: 0 }
    return await this.#write(claim, stored?.revision ?? 0) === 'conflict' ? 'busy' : 'taken'
  }

  async #write (value: LeaseValue, ifRevision: number): Promise<'written' | 'conflict'> {
    const { client, key, timers, ttlMs } = this.#opts
    const until = timers.now() + ttlMs
    try {
      const revision = await client.put(key, encodeJson(value), { ifRevision })
      this.#held = { revision, value, until }
      return 'written'
    } catch (err) {
      if (!(err instanceof PlatformConflict)) return await this.#readBack(value, until, err)
      return await this.#isOwn(value, until) ? 'written' : 'conflict'
    }
  }

  /** After a lost answer the stored value tells whether the write took effect. */
  async #readBack (value: LeaseValue, until: number, lost: unknown): Promise<'written'> {
    if (await this.#isOwn(value, until)) return 'written'
    throw lost
  }

  async #isOwn (value: LeaseValue, until: number): Promise<boolean> {
    const stored = await this.#opts.client.get(this.#opts.key)
    const found = stored && decodeLease(stored)
    if (!stored || !found || !isSame(found, value)) return false
    this.#held = { revision: stored.revision, value: found, until }
    return true
  }
}

/** Renewals count, too: a renewal that did not take effect must not lengthen the term. */
function isSame (a: LeaseValue, b: LeaseValue): boolean {
  return a.holder === b.holder && a.address === b.address && a.token === b.token && a.renewals === b.renewals
}

/** Values that are no lease count as free, since they can't be renewed by anyone. */
export function decodeLease (stored: StoredObject): LeaseValue | undefined {
  return decodeJson(leaseSchema, stored.value)
}
