import { isFingerprint } from './fingerprintFormat.js'

// What daemons tell each other about requests that crash targets.

/** One crash of a target and the requests that may have caused it. The list only shrinks, as requests run well elsewhere. */
export interface CrashReport {
  /** Unique across all daemons and their restarts. */
  id: string
  /** Service of the target. */
  service: string
  /** Fingerprints of the requests. */
  suspects: string[]
  /** Those of them that ran there as a daemon's retry. */
  retried: string[]
  /** Milliseconds since the crash, when the report was sent. */
  ageMs: number
}

/** A request that is refused because it crashed targets again and again. */
export interface Block {
  fingerprint: string
  /** Number of times that the request has been blocked; each block lasts longer than the one before. */
  level: number
  /** True once the request has run well after all. */
  isCleared: boolean
  /** Milliseconds since the block began, when the news was sent. */
  ageMs: number
}

export interface QuarantineNews {
  reports: CrashReport[]
  blocks: Block[]
}

/** Requests that may be suspected of one crash; the ones that were started last are kept. */
export const MAX_SUSPECTS = 32

/** The valid entries of what a peer sent; the others are left out. */
export function readQuarantineNews (value: unknown, onInvalid: () => void): QuarantineNews {
  const { reports, blocks } = (typeof value === 'object' && value !== null ? value : {}) as Partial<Record<keyof QuarantineNews, unknown>>
  const readAll = <T>(entries: unknown, isValid: (entry: unknown) => entry is T): T[] => {
    if (!Array.isArray(entries)) return []
    const valid = entries.filter(isValid)
    for (let i = valid.length; i < entries.length; i++) onInvalid()
    return valid
  }
  return { reports: readAll(reports, isCrashReport), blocks: readAll(blocks, isBlock) }
}

function isCrashReport (value: unknown): value is CrashReport {
  if (typeof value !== 'object' || value === null) return false
  const { id, service, suspects, retried, ageMs } = value as Partial<CrashReport>
  return typeof id === 'string' && id !== '' && typeof service === 'string' && areSuspects(suspects) && areSuspects(retried) && isAge(ageMs)
}

/** Whether a value from a peer or the store is a block. */
export function isBlock (value: unknown): value is Block {
  if (typeof value !== 'object' || value === null) return false
  const { fingerprint, level, isCleared, ageMs } = value as Partial<Block>
  return isFingerprint(fingerprint) && Number.isInteger(level) && level! > 0 && typeof isCleared === 'boolean' && isAge(ageMs)
}

function areSuspects (value: unknown): value is string[] {
  return Array.isArray(value) && value.length <= MAX_SUSPECTS && value.every(isFingerprint)
}

function isAge (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}
