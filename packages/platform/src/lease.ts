import type { Timers } from '@lentilwheel/core'
import { z } from 'zod'
import { decodeJson, encodeJson, type PlatformClient, type StoredObject } from './platformClient.js'
import { PlatformConflict } from './errors.js'

/** Stored value of a lease. */
export const leaseSchema = z.object({
  /** Id of the holder; empty after a release. */
  holder: z.string(),
  /** Mesh address of the holder, from which starting daemons discover the mesh. */
  address: z.string(),
  /** Fencing token; increases with every acquisition. */
  token: z.int(),
  renewals: z.int()
})

export type LeaseValue = z.output<typeof leaseSchema>

/** `taken`: acquired; `held`: renewed; `busy`: another holder has it; `lost`: no longer held. */
export type LeaseStepResult = 'taken' | 'held' | 'busy' | 'lost'

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
 * A renewable lease on one role, stored as an object of the platform. Each observer judges expiry by its own monotonic
 * clock: a lease has expired when its revision has not changed for the whole term, so clocks of hosts are never compared.
 */
export class Lease {
  readonly #opts: LeaseOptions
  #observed: { revision: number, since: number, value: LeaseValue | undefined } | undefined
  #held: { revision: number, value: LeaseValue, expiresAt: number } | undefined

  constructor (opts: LeaseOptions) {
    this.#opts = opts
  }

  /** Holder in the value last read, empty after a release; undefined if the lease was absent, invalid or never read. */
  get observedHolder (): string | undefined {
    return this.#observed?.value?.holder
  }

  /** Fencing token; undefined while not held. */
  get token (): number | undefined {
    return this.isHeld() ? this.#held?.value.token : undefined
  }

  /** False once the term has passed without a renewal, for example after this process was paused. */
  isHeld (): boolean {
    return this.#held !== undefined && this.#opts.timers.now() < this.#held.expiresAt
  }

  /** Whether the lease was acquired and neither released nor found lost since; unlike `isHeld`, it ignores expiry. */
  get isClaimed (): boolean {
    return this.#held !== undefined
  }

  /** Renews the lease if it was acquired, else tries to acquire it; throws the platform's errors. */
  async acquireOrRenew (): Promise<LeaseStepResult> {
    return this.#held ? await this.#renew(this.#held) : await this.#tryAcquire()
  }

  /** Releases the lease, so that a successor need not wait for it to expire. */
  async release (): Promise<void> {
    const held = this.#held
    this.#held = undefined
    if (!held) return
    const value: LeaseValue = { ...held.value, holder: '' }
    await this.#opts.client.put(this.#opts.key, encodeJson(value), { ifRevision: held.revision })
  }

  async #renew (held: { revision: number, value: LeaseValue }): Promise<LeaseStepResult> {
    const value = { ...held.value, renewals: held.value.renewals + 1 }
    const result = await this.#write(value, held.revision)
    if (result === 'conflict') {
      this.#held = undefined
      return 'lost'
    }
    return 'held'
  }

  async #tryAcquire (): Promise<LeaseStepResult> {
    const stored = await this.#opts.client.get(this.#opts.key)
    const now = this.#opts.timers.now()
    const value = stored && decodeLease(stored)
    if (this.#observed?.revision !== (stored?.revision ?? 0)) this.#observed = { revision: stored?.revision ?? 0, since: now, value }
    const isFree = !value || value.holder === '' || value.holder === this.#opts.holder.id
    if (!isFree && now - this.#observed.since < this.#opts.ttlMs) return 'busy'
    const { id: holder, address } = this.#opts.holder
    const claim: LeaseValue = { holder, address, token: (value?.token ?? 0) + 1, renewals: 0 }
    return await this.#write(claim, stored?.revision ?? 0) === 'conflict' ? 'busy' : 'taken'
  }

  async #write (value: LeaseValue, ifRevision: number): Promise<'written' | 'conflict'> {
    const { client, key, timers, ttlMs } = this.#opts
    const expiresAt = timers.now() + ttlMs
    try {
      const revision = await client.put(key, encodeJson(value), { ifRevision })
      this.#held = { revision, value, expiresAt }
      return 'written'
    } catch (err) {
      if (!(err instanceof PlatformConflict)) return await this.#readBack(value, expiresAt, err)
      return await this.#confirmWrite(value, expiresAt) ? 'written' : 'conflict'
    }
  }

  /** Reads the lease back after a failed write; rethrows the error if the write did not take effect. */
  async #readBack (value: LeaseValue, expiresAt: number, cause: unknown): Promise<'written'> {
    if (await this.#confirmWrite(value, expiresAt)) return 'written'
    throw cause
  }

  /** Whether the stored lease is the value written; if so, records it as held. */
  async #confirmWrite (value: LeaseValue, expiresAt: number): Promise<boolean> {
    const stored = await this.#opts.client.get(this.#opts.key)
    const current = stored && decodeLease(stored)
    if (!stored || !current || !isSameLease(current, value)) return false
    this.#held = { revision: stored.revision, value: current, expiresAt }
    return true
  }
}

/** Compares the renewals as well: a renewal that did not take effect must not extend the term. */
function isSameLease (a: LeaseValue, b: LeaseValue): boolean {
  return a.holder === b.holder && a.address === b.address && a.token === b.token && a.renewals === b.renewals
}

/** Decodes a stored lease; undefined for other content, which counts as free since nobody can renew it. */
export function decodeLease (stored: StoredObject): LeaseValue | undefined {
  return decodeJson(leaseSchema, stored.value)
}
