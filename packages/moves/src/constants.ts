/** Shares of traffic that a ramp goes through; a slow service starts above the first. */
export const STAGE_SHARES: readonly number[] = [0.01, 0.05, 0.2, 0.5, 1]
/** Parts of the remaining time that the stages below 100% get, in the order of STAGE_SHARES. */
export const STAGE_WEIGHTS: readonly number[] = [0.2, 0.15, 0.3, 0.35]
/** Most that the first stage is raised to, so that a bad version fails few calls of a quiet service. */
export const MAX_FIRST_SHARE = 0.1

/**
 * Time before the deadline at which the ramp plans to reach 100%: a part of the time left between two limits. The lower
 * one gives room for one concurrent test after an alarm, the upper one for two.
 */
export const ALARM_ROOM_PART = 0.25
export const MIN_ALARM_ROOM_MS = 12_000
export const MAX_ALARM_ROOM_MS = 30_000
/** Shortest stage: evidence of one second needs up to two more to be merged and acted on. */
export const MIN_STAGE_MS = 3_000
/** Longest stage; a deadline hours away must not stretch a move for hours. */
export const MAX_STAGE_MS = 300_000
/** Time at share 0 in which the service's rate and the old version's latencies are measured. */
export const OBSERVE_MS = 3_000
/** Time that the last stage fact gets to reach every daemon before the deadline. */
export const SPREAD_MS = 2_000

/** A gap between ticks above this means that the process was paused; what it measured is stale. */
export const MAX_TICK_GAP_MS = 5_000

/** Time that a coordinator watches a stage before it goes on, when it took over in the middle of it. */
export const OWN_WATCH_MS = 10_000

/** Chance of rolling back an equal version through errors, and again through slowness. */
export const ALPHA = 0.001
/** Evidence (e-value) above which a move waits instead of going on, and is taken back if its deadline comes first. */
export const SUSPICION = 20
/** Evidence at which the hold alarm asks for a concurrent test; a false alarm costs only time. */
export const HOLD_ALARM = 200

/** Odds ratios of failure that the tests look for, equally weighted. */
export const ERROR_ODDS: readonly number[] = [1.5, 2.5, 6, 20, 100, 1000]
/** Odds ratios of a slow call that the tests look for. */
export const SLOW_ODDS: readonly number[] = [1.3, 1.6, 2.5, 6]
/** Quantiles of the old version's latency that bound a slow call. */
export const SLOW_QUANTILES: readonly number[] = [0.95, 0.99]
/** Calls of the old version needed before its quantile is used, in the order of SLOW_QUANTILES. */
export const SLOW_MIN_CALLS: readonly number[] = [200, 1_000]
/** Buckets by which the new version may be slower: two steps of a tenth of an octave are 15%. */
export const SLOW_TOLERANCE_BUCKETS = 2

/** Windows (seconds; the longest ramp) over which half of the prior for the start of badness is spread. */
export const START_HORIZON_WINDOWS = 1_200

/** Slow calls are not counted this long after cold instances take their first calls. */
export const WARM_UP_MS = 45_000
/** Most time left out in one move, so that restarting instances can't hide slowness for good. */
export const MAX_WARM_UP_MS = 135_000

/** Unannounced losses of new targets that count as crashing. */
export const CRASH_LIMIT = 3

/** Time after the hold time in which lost targets of the new version may come back. */
export const LOST_SLOTS_WAIT_MS = 60_000

/** Shares of the concurrent tests after the first hold alarm and after later ones. */
export const ALARM_SHARES: readonly number[] = [0.2, 0.8]
/** Alarms in the hold after which the move is taken back even though concurrent tests found nothing. */
export const MAX_HOLD_ALARMS = 4
export const ALARM_TEST_MIN_MS = 8_000
export const ALARM_TEST_MAX_MS = 120_000
/** Likelihood ratio at which a concurrent test clears the new version of an alarm. */
export const ALARM_CLEARED = 50

/** Log-likelihood at which one daemon rolls back by itself: one false trip in 10 million failures. */
export const LOCAL_TRIP = Math.log(1e7)
/** Share to which one daemon falls when nearly all of its calls go to a failing new version. */
export const LOCAL_CAP_SHARE = 0.2
export const LOCAL_CAP_MS = 6_000
/** With `finish`, time after the deadline in which a suspicion may still settle before the move ends late. */
export const UNSURE_GRACE_MS = 15_000
/** Numbers of the stages from the first one with all traffic on; a new coordinator tells a test after an alarm by it. */
export const HOLD_STAGE = 100
