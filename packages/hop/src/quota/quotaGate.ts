import type { MeshWorkspace } from '../routing/meshConfig.js'

export type QuotaDecision =
  | { kind: 'granted' }
  /** Over the quota: 429. */
  | { kind: 'exceeded', retryAfterMs: number }
  /** Nobody who counts could be asked: 503. */
  | { kind: 'unknown', retryAfterMs: number }

/** Asked once for each request of a caller that belongs to a workspace with a rate. */
export interface QuotaGate {
  /** Calls `done` once, possibly before it returns. */
  admit (workspace: MeshWorkspace, done: (decision: QuotaDecision) => void): void
  /** Gives back the right of a request that ended without having run. */
  giveBack (workspace: MeshWorkspace): void
}
