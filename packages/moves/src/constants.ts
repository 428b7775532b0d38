// Settings of the regular moves: stages, significance of the tests, warm-up, hold time and retests.

/** Shares of traffic that a ramp goes through; a service with few calls starts above the first. */
export const STAGE_SHARES: readonly number[] = [0.01, 0.05, 0.2, 0.5, 1]
/** Weights by which the stages below 100% divide the remaining time, in the order of STAGE_SHARES. */
export const STAGE_TIME_WEIGHTS: readonly number[] = [0.2, 0.15, 0.3, 0.35]
/** Highest share of the first stage; limits the calls that a bad version fails on a service with few calls. */
export const MAX_FIRST_SHARE = 0.1

/**
 * Time between reaching 100% and the deadline that the plan reserves for retests after alarms: a fraction of the remaining
 * time between two limits. The lower one suffices for one retest, the upper one for two.
 */
export const RETEST_RESERVE_FRACTION = 0.25
export const MIN_RETEST_RESERVE_MS = 12_000
export const MAX_RETEST_RESERVE_MS = 30_000
/** Shortest stage: evidence of one second takes up to two more to be merged and acted on. */
export const MIN_STAGE_MS = 3_000
/** Longest stage, so that a distant deadline doesn't stretch the move for hours. */
export const MAX_STAGE_MS = 300_000
/** Least time at share 0, in which the service's call rate and the old version's latencies are measured. */
export const MIN_BASELINE_MS = 3_000
/** Time that a stage fact takes to reach every daemon; the last one must be published this long before the deadline. */
export const PROPAGATION_MS = 2_000

/** Longer gaps between two ticks mean that the process was paused, so that its measurements are stale. */
export const MAX_TICK_GAP_MS = 5_000

/** Time that a coordinator which took over in the middle of a stage gathers evidence before it goes on. */
export const TAKEOVER_WATCH_MS = 10_000

/** Significance level: chance of rolling back an equal version because of failures, and again because of slow calls. */
export const ALPHA = 0.001
/** E-value from which a move waits instead of going on, and is rolled back if the deadline passes meanwhile. */
export const SUSPICION_E_VALUE = 20
/** E-value at which the hold monitor asks for a retest; lower than 1 / ALPHA, as a false alarm costs only time. */
export const HOLD_ALARM_E_VALUE = 200

/** Odds ratios of failed calls that the tests look for, equally weighted. */
export const ERROR_ODDS_RATIOS: readonly number[] = [1.5, 2.5, 6, 20, 100, 1000]
/** Odds ratios of slow calls that the tests look for, equally weighted. */
export const SLOW_ODDS_RATIOS: readonly number[] = [1.3, 1.6, 2.5, 6]
/** Quantiles of the old version's latency above which a call is slow. */
export const SLOW_QUANTILES: readonly number[] = [0.95, 0.99]
/** Calls of the old version that a quantile needs before it is used, in the order of SLOW_QUANTILES. */
export const MIN_QUANTILE_CALLS: readonly number[] = [200, 1_000]
/** Latency buckets by which the new version may be slower: two steps of a tenth of an octave are 15%. */
export const SLOW_TOLERANCE_BUCKETS = 2

/**
 * Number of windows, of one second each, over which half of the prior for the change point is spread, that is, for the
 * window in which the new version turns bad; as many as the longest ramp has.
 */
export const CHANGE_POINT_HORIZON_WINDOWS = 1_200

/** Time after cold targets take their first calls in which slow calls aren't counted. */
export const WARM_UP_MS = 45_000
/** Limit for the sum of the warm-up times in one move, so that restarting targets can't hide slow calls for good. */
export const MAX_TOTAL_WARM_UP_MS = 135_000

/** Targets of the new version, lost without having drained, from which the version counts as crashing. */
export const CRASH_LOSS_LIMIT = 3

/** Time after the hold time in which lost targets of the new version may come back before the move ends. */
export const LOST_TARGETS_GRACE_MS = 60_000

/** Shares of the new version in the retest after the first alarm and in later ones. */
export const RETEST_SHARES: readonly number[] = [0.2, 0.8]
/** Alarms of one kind in the hold time at which the move is rolled back, even though the retests found nothing. */
export const MAX_HOLD_ALARMS = 4
/** Shortest time after which a retest clears the new version. */
export const MIN_RETEST_MS = 8_000
/** Time after which a retest ends without being cleared. */
export const MAX_RETEST_MS = 120_000
/** Likelihood ratio at which a retest clears the new version of an alarm. */
export const CLEARING_LIKELIHOOD_RATIO = 50

/** Log-likelihood ratio at which a daemon's own breaker trips: one false trip in 10 million failures. */
export const LOCAL_TRIP_LOG_RATIO = Math.log(1e7)
/** Highest share on a daemon whose breaker suspects the new version while nearly all calls go to it. */
export const LOCAL_CAP_SHARE = 0.2
/** Time for which LOCAL_CAP_SHARE applies. */
export const LOCAL_CAP_MS = 6_000
/** With `finish`, time after the deadline in which a suspicion or missing targets may pass before the move ends late. */
export const FINISH_GRACE_MS = 15_000
/**
 * Number of the first stage at 100%, whatever the number of stages before it. A later stage at a smaller share is thus
 * known to be a retest, also by a coordinator that takes over.
 */
export const FIRST_HOLD_STAGE = 100
