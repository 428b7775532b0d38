import { z } from 'zod'
import { decodeJson } from './platformClient.js'

/** Configuration version that daemons refused. */
export const refusalSchema = z.object({
  version: z.int(),
  changeId: z.string(),
  reason: z.string(),
  at: z.number(),
  /** Names of the first daemons that refused it. */
  daemons: z.array(z.string())
})

/** Status summary of the daemons of one data centre, as its relay stores it on the platform. */
export const accountSchema = z.object({
  dataCentre: z.string(),
  /** Unix milliseconds at which the summary was made. */
  at: z.number(),
  /** Fencing token of the relay that wrote it. */
  token: z.int().default(0),
  members: z.int(),
  /** Number of daemons by active configuration version. */
  inForce: z.record(z.string(), z.int()),
  /** Daemons whose active version is too old, with the reason. */
  lagging: z.array(z.object({ daemon: z.string(), version: z.int(), reason: z.string() })),
  refusals: z.array(refusalSchema)
})

export type Account = z.output<typeof accountSchema>
export type AccountRefusal = Account['refusals'][number]

export const ACCOUNT_PREFIX = 'account/'

export function accountKey (dataCentre: string): string {
  return `${ACCOUNT_PREFIX}${dataCentre}`
}

/** Undefined for content that is not an account. */
export function decodeAccount (value: Uint8Array): Account | undefined {
  return decodeJson(accountSchema, value)
}
