import { z } from 'zod'
import { decodeJson } from './client.js'

/** A version that daemons refused whole. */
export const refusalSchema = z.object({
  version: z.int(),
  changeId: z.string(),
  reason: z.string(),
  at: z.number(),
  /** Names of the first daemons that refused it. */
  daemons: z.array(z.string())
})

/** Status summary of a data centre as its relay stores it. */
export const accountSchema = z.object({
  dataCentre: z.string(),
  /** Unix milliseconds of the summary. */
  at: z.number(),
  /** Fencing token of the relay that wrote it. */
  token: z.int().default(0),
  members: z.int(),
  /** Daemons by the version that they hold. */
  inForce: z.record(z.string(), z.int()),
  lagging: z.array(z.object({ daemon: z.string(), version: z.int(), reason: z.string() })),
  refusals: z.array(refusalSchema)
})

export type Account = z.output<typeof accountSchema>
export type AccountRefusal = Account['refusals'][number]

export const ACCOUNT_PREFIX = 'account/'

export function accountKey (dataCentre: string): string {
  return `${ACCOUNT_PREFIX}${dataCentre}`
}

export function decodeAccount (value: Uint8Array): Account | undefined {
  return decodeJson(accountSchema, value)
}
