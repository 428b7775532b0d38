/** Behaviour of the new version in a simulated move, compared with the old version. */
export interface VersionKind {
  name: string
  /** Whether its move should be done or taken back; the move of a `short` version can't be done for lack of instances. */
  verdict: 'good' | 'bad' | 'short'
  /** Share of its calls on a route that fail, in addition to the failures of both versions. */
  errorRate?: (progress: MoveProgress, route: string) => number
  /** Factor on its latencies; `z` is the standard score of the call's latency. */
  latencyFactor?: (progress: MoveProgress, z: number) => number
  /** Number of its instances relative to the old version; 1 when absent. */
  instanceRatio?: number
  /** Its instances crash after some seconds under traffic. */
  isCrashing?: boolean
  /** A dependency of both versions is slow and fails calls from time to time. */
  hasNoisyDependency?: boolean
}

/** Progress of a move at one second. */
export interface MoveProgress {
  /** Seconds since the new version's first call. */
  secondsSinceFirstCall: number
  /** Seconds since the new version first had all traffic; negative before. */
  secondsSinceFullTraffic: number
  /** Share of the service's calls that the new version gets. */
  share: number
}

/** Hold time of simulated moves. */
export const HOLD_SECONDS = 60
/** Time constant with which the latencies of a cold start decay. */
const COLD_START_SECONDS = 15
/** Share above which the kind `badAboveLoad` fails calls. */
const HIGH_LOAD_SHARE = 0.6
/** Standard score of the 99.5% quantile of the normal distribution. */
const Z_SCORE_995 = 2.576

const constant = (rate: number) => (): number => rate

/** The simulated kinds of new version; their names appear in the result. */
export const KINDS: readonly VersionKind[] = [
  { name: 'good', verdict: 'good' },
  { name: 'coldStart', verdict: 'good', latencyFactor: (progress) => 1 + 3 * Math.exp(-progress.secondsSinceFirstCall / COLD_START_SECONDS) },
  { name: 'noisyDependency', verdict: 'good', hasNoisyDependency: true },
  { name: 'slowerTail', verdict: 'good', latencyFactor: (_progress, z) => (z > Z_SCORE_995 ? 1.5 : 1.05) },
  { name: 'fail100', verdict: 'bad', errorRate: constant(1) },
  { name: 'fail20', verdict: 'bad', errorRate: constant(0.2) },
  { name: 'fail3', verdict: 'bad', errorRate: constant(0.03) },
  { name: 'fail1', verdict: 'bad', errorRate: constant(0.01) },
  { name: 'slow3', verdict: 'bad', latencyFactor: constant(3) },
  { name: 'slow1.3', verdict: 'bad', latencyFactor: (_progress, z) => (z > 1.5 ? 1.3 : 1) },
  { name: 'badAboveLoad', verdict: 'bad', errorRate: (progress) => (progress.share > HIGH_LOAD_SHARE ? 0.1 : 0) },
  { name: 'badRareRoute', verdict: 'bad', errorRate: (_progress, route) => (route === 'rare' ? 0.3 : 0) },
  { name: 'badAfterMinute', verdict: 'bad', errorRate: (progress) => (progress.secondsSinceFirstCall >= 60 ? 0.2 : 0) },
  { name: 'badAfterAll', verdict: 'bad', errorRate: (progress) => (progress.secondsSinceFullTraffic >= 0 ? 0.1 : 0) },
  { name: 'badInHold', verdict: 'bad', errorRate: (progress) => (progress.secondsSinceFullTraffic >= HOLD_SECONDS / 2 ? 0.1 : 0) },
  { name: 'badNonIdempotent', verdict: 'bad', errorRate: (_progress, route) => (route === 'order' ? 0.2 : 0) },
  // The target breaks off its response after sending status 200; the proxy counts that as a failed call.
  { name: 'brokenAnswer200', verdict: 'bad', errorRate: constant(0.3) },
  { name: 'crashing', verdict: 'bad', isCrashing: true },
  { name: 'shortOfInstances', verdict: 'short', instanceRatio: 0.5 },
  { name: 'neverAnnounced', verdict: 'short', instanceRatio: 0 }
]

/** Calls a second to the service. */
export const RATES = { low: 20, middle: 400, high: 4_000 } as const
export type RateName = keyof typeof RATES

/** Seconds from the start of a move to its deadline. */
export const DEADLINES = { comfortable: 300, tight: 60, impossible: 8, past: -60 } as const
export type DeadlineName = keyof typeof DEADLINES

/** Fleets of the two sites: daemons, and instances of each version with their slots and connections. */
export const PROFILES = {
  kitaboshi: { daemons: 12, instances: 4, slots: 6, connections: 100 },
  addis: { daemons: 14, instances: 6, slots: 12, connections: 130 }
} as const
export type ProfileName = keyof typeof PROFILES

/** Routes of the service, with their fraction of the calls and their median latency. */
export const ROUTES = [
  { name: 'browse', fraction: 0.84, medianMs: 8 },
  { name: 'order', fraction: 0.15, medianMs: 15 },
  { name: 'rare', fraction: 0.01, medianMs: 12 }
] as const
