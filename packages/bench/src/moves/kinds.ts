/** What the new version is like in a simulated move. */
export interface VersionKind {
  name: string
  verdict: 'good' | 'bad' | 'short'
  /** Share of its calls on a route that fail, beside those that fail on both versions. */
  errorRate?: (at: MoveProgress, route: string) => number
  /** Factor on its latencies; `z` is the call's place in the distribution, in standard deviations. */
  latencyFactor?: (at: MoveProgress, z: number) => number
  /** Instances of the new version, as a part of the old version's. */
  instanceRatio?: number
  /** Instances crash after some seconds under traffic. */
  isCrashing?: boolean
  /** A dependency fails for both versions now and then. */
  hasNoisyDependency?: boolean
}

/** State of a move at one second. */
export interface MoveProgress {
  /** Seconds since the new version's first call. */
  secondsSinceFirstCall: number
  /** Seconds since all traffic was on the new version for the first time; negative before. */
  secondsSinceFullTraffic: number
  /** Share of the service's calls that the new version gets. */
  share: number
}

/** Length of the hold time in simulated moves. */
export const HOLD_SECONDS = 60
const COLD_START_SECONDS = 15
const HIGH_LOAD_SHARE = 0.6
/** Standard normal place of the quantile 99.5%. */
const Z_SCORE_995 = 2.576

const constant = (rate: number) => (): number => rate

export const KINDS: readonly VersionKind[] = [
  { name: 'good', verdict: 'good' },
  { name: 'coldStart', verdict: 'good', latencyFactor: (at) => 1 + 3 * Math.exp(-at.secondsSinceFirstCall / COLD_START_SECONDS) },
  { name: 'noisyDependency', verdict: 'good', hasNoisyDependency: true },
  { name: 'slowerTail', verdict: 'good', latencyFactor: (_at, z) => (z > Z_SCORE_995 ? 1.5 : 1.05) },
  { name: 'fail100', verdict: 'bad', errorRate: constant(1) },
  { name: 'fail20', verdict: 'bad', errorRate: constant(0.2) },
  { name: 'fail3', verdict: 'bad', errorRate: constant(0.03) },
  { name: 'fail1', verdict: 'bad', errorRate: constant(0.01) },
  { name: 'slow3', verdict: 'bad', latencyFactor: constant(3) },
  { name: 'slow1.3', verdict: 'bad', latencyFactor: (_at, z) => (z > 1.5 ? 1.3 : 1) },
  { name: 'badAboveLoad', verdict: 'bad', errorRate: (at) => (at.share > HIGH_LOAD_SHARE ? 0.1 : 0) },
  { name: 'badRareRoute', verdict: 'bad', errorRate: (_at, route) => (route === 'rare' ? 0.3 : 0) },
  { name: 'badAfterMinute', verdict: 'bad', errorRate: (at) => (at.secondsSinceFirstCall >= 60 ? 0.2 : 0) },
  { name: 'badAfterAll', verdict: 'bad', errorRate: (at) => (at.secondsSinceFullTraffic >= 0 ? 0.1 : 0) },
  { name: 'badInHold', verdict: 'bad', errorRate: (at) => (at.secondsSinceFullTraffic >= HOLD_SECONDS / 2 ? 0.1 : 0) },
  { name: 'badNonIdempotent', verdict: 'bad', errorRate: (_at, route) => (route === 'order' ? 0.2 : 0) },
  // The target starts its answer with status 200 and breaks it off; the proxy counts a broken answer as failed.
  { name: 'brokenAnswer200', verdict: 'bad', errorRate: constant(0.3) },
  { name: 'crashing', verdict: 'bad', isCrashing: true },
  { name: 'shortOfInstances', verdict: 'short', instanceRatio: 0.5 },
  { name: 'neverAnnounced', verdict: 'short', instanceRatio: 0 }
]

export const RATES = { low: 20, middle: 400, high: 4_000 } as const
export type RateName = keyof typeof RATES

/** Seconds from the start of a move to its deadline. */
export const DEADLINES = { comfortable: 300, tight: 60, impossible: 8, past: -60 } as const
export type DeadlineName = keyof typeof DEADLINES

export const PROFILES = {
  kitaboshi: { daemons: 12, instances: 4, slots: 6, connections: 100 },
  addis: { daemons: 14, instances: 6, slots: 12, connections: 130 }
} as const
export type ProfileName = keyof typeof PROFILES

/** Part of the calls and median latency of each route. */
export const ROUTES = [
  { name: 'browse', part: 0.84, medianMs: 8 },
  { name: 'order', part: 0.15, medianMs: 15 },
  { name: 'rare', part: 0.01, medianMs: 12 }
] as const
