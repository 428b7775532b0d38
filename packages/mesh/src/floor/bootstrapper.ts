import { backoffMs, shuffled, type Cancel } from '@lentilwheel/core'
import {
  decodeHead, decodeLease, decodeMoveRecord, toMoveFacts, HEAD_KEY, LEASE_PREFIX, MOVE_PREFIX
} from '@lentilwheel/platform'
import {
  JOIN_GRACE_MS, JOIN_SETTLE_MS, START_PEERS_ASKED, START_BACKOFF_CAP_MS, START_BACKOFF_MS, START_PERIOD_MS, START_READERS_PER_SECOND
} from '../constants.js'
import type { MeshContext } from '../context.js'
import type { AntiEntropy } from '../membership/antiEntropy.js'
import type { Header } from '../gen/mesh_pb.js'
import type { Readiness } from '../types.js'
import { meshAddress, type MeshAddress } from '../wire/address.js'
import { decideReadiness } from './decideReadiness.js'
import { applyHead } from './applyHead.js'
import { announcementOrder } from './announcementOrder.js'

/** Seeds or known peers contacted at once per attempt to join. */
const CONCURRENT_SEEDS = 2
const PING_TIMEOUT_MS = 200
/** Unanswered pings after which the start no longer waits for a peer, and skips it until all others were tried. */
const MAX_PINGS_PER_PEER = 4
const JOIN_BACKOFF_CAP_MS = 2_000

/**
 * Joins a starting daemon to the mesh and decides when it may serve. Until it is ready, it pings peers for the version
 * floor, loads the facts about moves from a ready peer and, if the mesh does not help, reads the platform itself.
 */
export class Bootstrapper {
  readonly #ctx: MeshContext
  readonly #antiEntropy: AntiEntropy
  readonly #onReadiness: (readiness: Readiness) => void
  readonly #seeds: readonly MeshAddress[]
  readonly #respondedIds = new Set<string>()
  readonly #readyIds = new Set<string>()
  /** Pings sent to each peer by id. */
  readonly #pingCounts = new Map<string, number>()
  readonly #unresponsiveIds = new Set<string>()
  #readiness: Readiness = { ready: false, reason: 'starting' }
  #isHeadKnown = false
  #hasFacts = false
  #joinedAt: number | undefined
  #isJoining = false
  #joinAttempt = 0
  #nextJoinAt = 0
  #startedAt = 0
  #platformAttempt = 0
  #nextPlatformReadAt = 0
  #cancel: Cancel = () => {}

  constructor (ctx: MeshContext, antiEntropy: AntiEntropy, onReadiness: (readiness: Readiness) => void) {
    this.#ctx = ctx
    this.#antiEntropy = antiEntropy
    this.#onReadiness = onReadiness
    const own = meshAddress(ctx.table.self.address, ctx.table.self.meshPort)
    this.#seeds = ctx.opts.seeds.filter((seed) => seed !== own)
  }

  get readiness (): Readiness {
    return this.#readiness
  }

  start (): void {
    const { timers } = this.#ctx.opts
    this.#startedAt = timers.now()
    this.#nextPlatformReadAt = timers.now() + this.#initialPlatformDelayMs()
    const cancelEvery = timers.every(START_PERIOD_MS, () => this.#tick(), { jitter: 0.2 })
    const cancelFirst = timers.after(0, () => this.#tick())
    this.#cancel = () => {
      cancelEvery()
      cancelFirst()
    }
  }

  stop (): void {
    this.#cancel()
  }

  /**
   * Whether this daemon may become relay: `JOIN_SETTLE_MS` after it joined, so that it knows the other members, or once its
   * seeds have not answered for `JOIN_GRACE_MS`; at once if it has no seeds.
   */
  get canBecomeRelay (): boolean {
    const now = this.#ctx.opts.timers.now()
    if (this.#joinedAt !== undefined) return now - this.#joinedAt >= JOIN_SETTLE_MS
    return this.#seeds.length === 0 || now - this.#startedAt >= JOIN_GRACE_MS
  }

  /** The platform's head was read, or a push that started from it arrived. */
  onHeadRead (): void {
    this.#isHeadKnown = true
    this.updateReadiness()
  }

  /** All facts about moves were loaded from the platform or from a ready peer. */
  onFactsLoaded (): void {
    this.#hasFacts = true
    this.updateReadiness()
  }

  /** Counts the sender of a message received since the start as a peer that answered. */
  recordAnswer (header: Header): void {
    if (this.#readiness.ready) return
    this.#respondedIds.add(header.from)
    if (header.ready) this.#readyIds.add(header.from)
  }

  /** Decides the readiness anew and reports it if it changed; once ready, a daemon stays ready. */
  updateReadiness (): void {
    if (this.#readiness.ready) return
    const { table, snapshots, floor } = this.#ctx
    const peers = table.members().filter((member) => table.status(member) !== 'unreachable')
    const next = decideReadiness({
      version: snapshots.snapshot.version,
      floor: floor.value,
      isHeadKnown: this.#isHeadKnown,
      readyAnswers: this.#readyIds.size,
      answers: peers.filter((member) => this.#respondedIds.has(member.record.id)).length,
      peers: peers.length,
      isAwaitingAnnouncedPeer: !this.#isHeadKnown && this.#isAwaitingAnnouncedPeer(),
      hasFacts: this.#hasFacts
    })
    const hasChanged = next.ready !== this.#readiness.ready || next.reason !== this.#readiness.reason
    this.#readiness = next
    if (hasChanged) this.#onReadiness(next)
  }

  #tick (): void {
    const isJoined = this.#joinedAt !== undefined
    if (this.#readiness.ready && isJoined) return this.#cancel()
    if (!isJoined) this.#ctx.runInBackground(this.#join())
    if (!this.#readiness.ready) {
      this.#pingPeers()
      this.#loadFacts()
      this.#ctx.runInBackground(this.#readPlatform())
    }
    this.updateReadiness()
    if (this.#readiness.ready && this.#seeds.length === 0) this.#cancel()
  }

  async #join (): Promise<void> {
    const { table, opts } = this.#ctx
    const now = opts.timers.now()
    if (this.#isJoining || now < this.#nextJoinAt) return
    this.#nextJoinAt = now + backoffMs(this.#joinAttempt++, { baseMs: START_PERIOD_MS, capMs: JOIN_BACKOFF_CAP_MS }, opts.random)
    this.#isJoining = true
    try {
      const known = table.members().map((member) => member.address)
      const addresses = shuffled([...new Set([...this.#seeds, ...known])], opts.random).slice(0, CONCURRENT_SEEDS)
      await Promise.all(addresses.map(async (address) => await this.#syncWith(address).catch(() => {})))
    } finally {
      this.#isJoining = false
    }
  }

  async #syncWith (address: MeshAddress): Promise<void> {
    const outcome = await this.#antiEntropy.syncWith(address)
    if (outcome.kind === 'retry') return
    this.recordAnswer(outcome.header)
    if (outcome.header.ready) this.onFactsLoaded()
    if (this.#joinedAt !== undefined) return
    this.#joinedAt = this.#ctx.opts.timers.now()
    this.#ctx.changeSelf({})
  }

  #pingPeers (): void {
    const { table, messenger } = this.#ctx
    const unanswered = announcementOrder(table).filter(({ record }) => {
      return !this.#respondedIds.has(record.id) && (this.#pingCounts.get(record.id) ?? 0) < MAX_PINGS_PER_PEER
    })
    for (const { address, record } of unanswered.slice(0, START_PEERS_ASKED)) {
      this.#pingCounts.set(record.id, (this.#pingCounts.get(record.id) ?? 0) + 1)
      const request = messenger.request(address, { case: 'ping', value: {} }, PING_TIMEOUT_MS)
      this.#ctx.runInBackground(request.then(() => {
        if (this.#pingCounts.get(record.id) === MAX_PINGS_PER_PEER) this.#unresponsiveIds.add(record.id)
        this.updateReadiness()
      }))
    }
    if (unanswered.length === 0) this.#pingCounts.clear()
  }

  /** Whether a peer to which the previous run may have announced a version has not answered; unresponsive ones don't count. */
  #isAwaitingAnnouncedPeer (): boolean {
    return announcementOrder(this.#ctx.table).slice(0, START_PEERS_ASKED).some(({ record }) => {
      return !this.#respondedIds.has(record.id) && !this.#unresponsiveIds.has(record.id)
    })
  }

  /** Loads the facts from a ready peer, since peers that are starting may lack some. */
  #loadFacts (): void {
    if (this.#hasFacts || this.#isJoining || this.#readyIds.size === 0) return
    const { table, opts } = this.#ctx
    const member = table.get(opts.random.pick([...this.#readyIds]))
    if (member) this.#ctx.runInBackground(this.#syncWith(member.address))
  }

  /**
   * Reads the head and the facts from the platform when the mesh does not help. On average `START_READERS_PER_SECOND`
   * daemons of the fleet do so in any second; after a restart of all daemons, the relays read it for the rest.
   */
  async #readPlatform (): Promise<void> {
    const { platform, timers, random } = this.#ctx.opts
    if (timers.now() < this.#nextPlatformReadAt) return
    if (random.next() > START_READERS_PER_SECOND / this.#ctx.table.size) {
      this.#nextPlatformReadAt = timers.now() + 1_000
      return
    }
    this.#nextPlatformReadAt = timers.now() + backoffMs(this.#platformAttempt++, {
      baseMs: START_BACKOFF_MS, capMs: START_BACKOFF_CAP_MS
    }, random)
    if (this.#ctx.table.size === 1) await this.#joinThroughLeases()
    const stored = await platform.get(HEAD_KEY)
    if (!stored) return
    const head = decodeHead(stored.value)
    this.#ctx.floor.raise(head.version)
    for (const object of await platform.list(MOVE_PREFIX)) {
      const record = decodeMoveRecord(object.value)
      if (record) this.#ctx.mergeFacts(toMoveFacts(record))
    }
    if (head.version > this.#ctx.snapshots.snapshot.version) await applyHead(this.#ctx, head, 'pull')
    this.onFactsLoaded()
    this.onHeadRead()
  }

  /** Joins through the holders of the relay leases on the platform, for when no seed answers. */
  async #joinThroughLeases (): Promise<void> {
    const own = this.#ctx.table.self.id
    for (const object of await this.#ctx.opts.platform.list(LEASE_PREFIX)) {
      const lease = decodeLease(object)
      if (!lease || lease.holder === own || lease.holder === '') continue
      await this.#syncWith(lease.address).catch(() => {})
      if (this.#joinedAt !== undefined) return
    }
  }

  #initialPlatformDelayMs (): number {
    const { random } = this.#ctx.opts
    return JOIN_GRACE_MS + random.next() * START_BACKOFF_MS
  }
}
