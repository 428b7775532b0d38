/** Largest datagram: leaves room for the IP and UDP headers within a common MTU. */
export const MAX_DATAGRAM_BYTES = 1_200
/** Largest request or response of a call. */
export const MAX_RPC_BYTES = 4 * 1024 * 1024
/** Children of each node of the push tree, among which it splits the members delegated to it. */
export const FAN_OUT = 4
/** Time for a child of the push tree to acknowledge; after it the push goes to the next member of that subtree. */
export const CHILD_TIMEOUT_MS = 500
/** Resends of a push to a child that did not answer; all fit into the 3 s within which a leaving target must be known. */
export const MAX_RESENDS = 3
export const RPC_TIMEOUT_MS = 3_000

/** Each daemon probes one random member in each period. */
export const PROBE_PERIOD_MS = 1_000
/** Time for a direct answer; the rest of the period is left for indirect probes. */
export const PROBE_TIMEOUT_MS = 400
/** Members asked to probe a member that did not answer directly. */
export const INDIRECT_PROBES = 3
/** Suspicion period for 10 members; it grows with the decimal logarithm of the number of members. */
export const SUSPICION_BASE_MS = 5_000
/** Lower limit of the suspicion period. */
export const MIN_SUSPICION_MS = 2_000
/** Observers that must suspect a member before it is removed. */
export const REMOVAL_OBSERVERS = 3
/** Suspicions of other observers are ignored for a member from which a message came within this time. */
export const DIRECT_CONTACT_MS = 5_000
/** Time for which the tombstone of a removed member is kept. */
export const TOMBSTONE_MS = 600_000
/** Members of a partitioned data centre are removed after this time; the longest partitions last minutes. */
export const PARTITION_RETENTION_MS = 3_600_000
/** Endpoints that one member record may hold. */
export const MAX_ENDPOINTS = 8

/** Datagrams on which an update is piggybacked after the push; updates that are only gossiped add log2 of the members. */
export const PIGGYBACK_COPIES = 3
/** Least time between anti-entropy exchanges; each goes to a member whose digest differs. */
export const EXCHANGE_PERIOD_MS = 10_000
/** Period while exchanges still find differences, such as after many daemons have started at once. */
export const EXCHANGE_FAST_PERIOD_MS = 2_000
/** Buckets of member ids whose digests an exchange compares. */
export const DIGEST_BUCKETS = 64
/** Answers above this size count as full transfers, of which only a few may run at once. */
export const FULL_TRANSFER_BYTES = 64 * 1024
/** Full transfers that may run at once, for each kind of answer. */
export const MAX_FULL_TRANSFERS = 2
/** Time for which a full transfer occupies its slot. */
export const FULL_TRANSFER_SLOT_MS = 100
/** Versions back from which a daemon can still compute a delta to the newest one. */
export const MAX_DELTA_HISTORY = 32

/** A daemon that lags behind waits at least this long for the push through the tree before it pulls. */
export const PULL_DELAY_MS = 700
/** Base of the exponential backoff between failed pulls. */
export const PULL_RETRY_MS = 1_000

/** Period of the checks and requests of a starting daemon. */
export const START_PERIOD_MS = 250
/** Ready peers whose answers make the version floor known. */
export const START_READY_ANSWERS = 3
/** Peers that a starting daemon asks in each period, first those to which its previous run may have announced a version. */
export const START_PEERS_ASKED = 5
/** Time for the seeds to answer before a starting daemon may become relay or read the platform itself. */
export const JOIN_GRACE_MS = 1_500
/** Time after joining before a daemon may become relay, so that it learns of the other members first. */
export const JOIN_SETTLE_MS = 1_000
/** Expected number of starting daemons in the whole fleet that read the platform directly in each second. */
export const START_READERS_PER_SECOND = 16
/** Base and cap of the backoff between direct platform reads of a starting daemon. */
export const START_BACKOFF_MS = 5_000
export const START_BACKOFF_CAP_MS = 30_000

export const RELAYS_PER_DATA_CENTRE = 2
/** Period of relay election and of the duties of a relay. */
export const RELAY_PERIOD_MS = 500
export const LEASE_TTL_MS = 15_000
export const LEASE_RENEW_MS = 5_000
/** Period of attempts to take a lease that another daemon holds; a dead holder is replaced soon after its lease expires. */
export const LEASE_RETRY_MS = 2_000
/** Period in which the primary relay writes the account of its data centre: active versions, lagging daemons, refused versions. */
export const ACCOUNT_PERIOD_MS = 2_000
/** Lagging daemons that an account lists. */
export const MAX_LAGGING_LISTED = 50
/** Daemons that an account lists for each refused version. */
export const MAX_DAEMONS_PER_REFUSAL = 10
/** Refused versions that an account keeps. */
export const MAX_REFUSALS = 50
/** The other relays of a data centre wait this long for the primary one's push before they read a new version themselves. */
export const SECOND_RELAY_DELAY_MS = 300
/** Peers whose acknowledgement a daemon seeks before it applies a version that it read from the platform. */
export const ANNOUNCE_PEERS = 2
/** Limit of the rate at which one relay writes facts about moves to the platform. */
export const MOVE_WRITES_PER_SECOND = 10
/** How often a relay reads its records again, as the platform may have been restored from a backup made before them. */
export const RECORD_CHECK_PERIOD_MS = 30_000
/** Moves whose facts are kept; beyond it the oldest ended ones are dropped. */
export const MAX_MOVES_KEPT = 1_000
/** Longest random delay before a daemon reports its status to the relay. */
export const STATUS_JITTER_MS = 300
/** Longest delay before a status that was not delivered is sent again. */
export const STATUS_RETRY_MS = 2_000

/** Rate limits of what this daemon accepts from all peers together. */
export const MAX_DATAGRAMS_PER_SECOND = 5_000
export const MAX_CALLS_PER_SECOND = 500
