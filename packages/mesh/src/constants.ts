/** Largest datagram, which leaves room for headers within a common MTU. */
export const MAX_DATAGRAM_BYTES = 1_200
export const MAX_RPC_BYTES = 4 * 1024 * 1024
/** Children among which a receiver of a push splits the members delegated to it. */
export const FAN_OUT = 4
/** Time after which the next member of a part is taken when the first does not answer. */
export const CHILD_TIMEOUT_MS = 500
/** Repeats of a push to a child that did not answer; all fit into the 3 s in which a leaving target must be known. */
export const MAX_RESENDS = 3
export const RPC_TIMEOUT_MS = 3_000

export const PROBE_PERIOD_MS = 1_000
/** Time for a direct answer; the rest of the period is left for the indirect probes. */
export const PROBE_TIMEOUT_MS = 400
export const INDIRECT_PROBES = 3
/** Suspicion lasts this long for each power of ten of members. */
export const SUSPICION_BASE_MS = 5_000
export const MIN_SUSPICION_MS = 2_000
export const REMOVAL_OBSERVERS = 3
/** A member heard from directly within this time is not suspected on the word of others. */
export const DIRECT_EVIDENCE_MS = 5_000
export const TOMBSTONE_MS = 600_000
/** Members of a partitioned data centre are dropped after this time; longest partitions last minutes. */
export const PARTITION_KEEP_MS = 3_600_000
export const MAX_ENDPOINTS = 8

/** Times that an update rides on datagrams after the push through the tree; gossip-only news adds log2 of the members. */
export const PIGGYBACK_COPIES = 3
export const EXCHANGE_PERIOD_MS = 10_000
/** Period while exchanges still find differences, such as after many daemons started at once. */
export const EXCHANGE_FAST_MS = 2_000
export const DIGEST_BUCKETS = 64
/** Answers above this size are full transfers, of which few run at once. */
export const FULL_TRANSFER_BYTES = 64 * 1024
export const MAX_FULL_TRANSFERS = 2
/** Time for which a full transfer occupies its slot. */
export const FULL_TRANSFER_MS = 100
export const MAX_HELD_DELTAS = 32

/** A lagging daemon waits this long for the push through the tree before it pulls. */
export const PULL_DELAY_MS = 700
export const PULL_RETRY_MS = 1_000

export const START_PERIOD_MS = 250
export const START_ANSWERS = 3
export const START_ASKS = 5
/** Time that a starting daemon gives its seeds before it becomes relay or asks the platform itself. */
export const JOIN_GRACE_MS = 1_500
/** Time that a daemon that joined waits to hear of the others before it may become relay. */
export const SETTLE_MS = 1_000
/** Daemons of the whole fleet that read the platform by themselves in a second while they can't start otherwise. */
export const START_READERS_PER_SECOND = 16
export const START_BACKOFF_MS = 5_000
export const START_BACKOFF_CAP_MS = 30_000

export const RELAYS_PER_DATA_CENTRE = 2
export const RELAY_PERIOD_MS = 500
export const LEASE_TTL_MS = 15_000
export const LEASE_RENEW_MS = 5_000
/** A lease of another holder is looked at this often, so that a dead one is replaced soon after its term. */
export const LEASE_BUSY_MS = 2_000
export const ACCOUNT_PERIOD_MS = 2_000
export const MAX_LAGGING_NAMED = 50
/** Refusing daemons that an account names for each refusal. */
export const MAX_REFUSING_NAMED = 10
export const MAX_REFUSALS = 50
/** Other relays of the data centre wait this long for the push of the first before they read the platform. */
export const SECOND_RELAY_DELAY_MS = 300
export const ANNOUNCE_PEERS = 2
export const MOVE_WRITES_PER_SECOND = 10
export const MAX_MOVES_KEPT = 1_000
export const STATUS_JITTER_MS = 300
export const STATUS_RETRY_MS = 2_000

/** Bounds on what a peer can make this daemon do. */
export const MAX_DATAGRAMS_PER_SECOND = 5_000
export const MAX_CALLS_PER_SECOND = 500
