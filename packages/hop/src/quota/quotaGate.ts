import type { MeshWorkspace } from '../routing/meshConfig.js'

/** What a request may do by the quota of its workspace. */
export type QuotaDecision =
  | { kind: 'granted' }
  /** Over the quota: 429. */
  | { kind: 'exceeded', retryAfterMs: number }
  /** Nobody who counts could be asked: 503. */
  | { kind: 'unknown', retryAfterMs: number }

/** Counts what workspaces send; asked once for each request of a caller that belongs to a workspace with a rate. */
export interface QuotaGate {
  /** Calls `done` once, possibly before it returns. `isRepeat`: the caller retries after a refusal; absent for no. */
  admit (workspace: MeshWorkspace, done: (decision: QuotaDecision) => void, isRepeat?: boolean): void
  /** Gives back the right of a request that ended without having run. */
  giveBack (workspace: MeshWorkspace): void
}

/** Grants everything. */
export class UnlimitedQuota implements QuotaGate {
  admit (_workspace: MeshWorkspace, done: (decision: QuotaDecision) => void): void {
    done({ kind: 'granted' })
  }

  giveBack (): void {}
}
