import { backoffMs, shuffled, type Cancel } from '@lentilwheel/core'
import {
  decodeHead, decodeLease, decodeMoveRecord, factsOfRecord, HEAD_KEY, LEASE_PREFIX, MOVE_PREFIX
} from '@lentilwheel/platform'
import {
  JOIN_GRACE_MS, SETTLE_MS, START_ASKS, START_BACKOFF_CAP_MS, START_BACKOFF_MS, START_PERIOD_MS, START_READERS_PER_SECOND
} from '../constants.js'
import type { MeshContext } from '../context.js'
import type { Exchanger } from '../membership/exchanger.js'
import type { Header } from '../gen/mesh_pb.js'
import type { Readiness } from '../types.js'
import { meshAddress, type MeshAddress } from '../wire/address.js'
import { startRule } from './startRule.js'
import { takeHead } from './takeHead.js'
import { witnessOrder } from './witnesses.js'

/** Seeds asked in each period until one answers. */
const SEEDS_AT_ONCE = 2
const ASK_TIMEOUT_MS = 200
/** A peer that stayed silent this often is given up for a while, so that dead ones don't hold up the start. */
const MAX_ASKS = 4
const JOIN_BACKOFF_CAP_MS = 2_000

/** Brings a starting daemon into the mesh and decides when it may serve. */
export class Starter {
  readonly #ctx: MeshContext
  readonly #exchanger: Exchanger
  readonly #onReadiness: (readiness: Readiness) => void
  readonly #seeds: readonly MeshAddress[]
  readonly #answered = new Set<string>()
  readonly #ready = new Set<string>()
  /** Times that each peer was asked. */
  readonly #asks = new Map<string, number>()
  readonly #givenUp = new Set<string>()
  #readiness: Readiness = { ready: false, reason: 'starting' }
  #headKnown = false
  #factsLoaded = false
  #joinedAt: number | undefined
  #isJoining = false
  #joinAttempt = 0
  #joinDueAt = 0
  #startedAt = 0
  #platformAttempt = 0
  #platformDueAt = 0
  #cancel: Cancel = () => {}

  constructor (ctx: MeshContext, exchanger: Exchanger, onReadiness: (readiness: Readiness) => void) {
    this.#ctx = ctx
    this.#exchanger = exchanger
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
    this.#platformDueAt = timers.now() + this.#platformDelay()
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

  /** Whether this daemon knows the mesh well enough to become relay; seeds that don't answer end the wait. */
  get mayLead (): boolean {
    const now = this.#ctx.opts.timers.now()
    if (this.#joinedAt !== undefined) return now - this.#joinedAt >= SETTLE_MS
    return this.#seeds.length === 0 || now - this.#startedAt >= JOIN_GRACE_MS
  }

  /** The head or a push that comes from it told the version in force. */
  sawHead (): void {
    this.#headKnown = true
    this.check()
  }

  sawFacts (): void {
    this.#factsLoaded = true
    this.check()
  }

  /** An answer of a peer that came after the start. */
  answered (header: Header): void {
    if (this.#readiness.ready) return
    this.#answered.add(header.from)
    if (header.ready) this.#ready.add(header.from)
  }

  check (): void {
    if (this.#readiness.ready) return
    const { table, holder, floor } = this.#ctx
    const peers = table.members().filter((member) => table.status(member) !== 'unreachable')
    const next = startRule({
      version: holder.snapshot.version,
      floor: floor.value,
      headKnown: this.#headKnown,
      readyAnswers: this.#ready.size,
      answers: peers.filter((member) => this.#answered.has(member.record.id)).length,
      peers: peers.length,
      awaitsWitness: !this.#headKnown && this.#awaitsWitness(),
      factsLoaded: this.#factsLoaded
    })
    const isNew = next.ready !== this.#readiness.ready || next.reason !== this.#readiness.reason
    this.#readiness = next
    if (isNew) this.#onReadiness(next)
  }

  #tick (): void {
    const isJoined = this.#joinedAt !== undefined
    if (this.#readiness.ready && isJoined) return this.#cancel()
    if (!isJoined) this.#ctx.detach(this.#join())
    if (!this.#readiness.ready) {
      this.#askPeers()
      this.#loadFacts()
      this.#ctx.detach(this.#askPlatform())
    }
    this.check()
    if (this.#readiness.ready && this.#seeds.length === 0) this.#cancel()
  }

  async #join (): Promise<void> {
    const { table, opts } = this.#ctx
    const now = opts.timers.now()
    if (this.#isJoining || now < this.#joinDueAt) return
    this.#joinDueAt = now + backoffMs(this.#joinAttempt++, { baseMs: START_PERIOD_MS, capMs: JOIN_BACKOFF_CAP_MS }, opts.random)
    this.#isJoining = true
    try {
      const known = table.members().map((member) => member.address)
      const asked = shuffled([...new Set([...this.#seeds, ...known])], opts.random).slice(0, SEEDS_AT_ONCE)
      await Promise.all(asked.map(async (address) => await this.#exchange(address).catch(() => {})))
    } finally {
      this.#isJoining = false
    }
  }

  async #exchange (address: MeshAddress): Promise<void> {
    const outcome = await this.#exchanger.with(address)
    if (outcome.kind === 'retry') return
    this.answered(outcome.header)
    if (outcome.header.ready) this.sawFacts()
    if (this.#joinedAt !== undefined) return
    this.#joinedAt = this.#ctx.opts.timers.now()
    this.#ctx.changeSelf({})
  }

  #askPeers (): void {
    const { table, messenger } = this.#ctx
    const unasked = witnessOrder(table).filter(({ record }) => {
      return !this.#answered.has(record.id) && (this.#asks.get(record.id) ?? 0) < MAX_ASKS
    })
    for (const { address, record } of unasked.slice(0, START_ASKS)) {
      this.#asks.set(record.id, (this.#asks.get(record.id) ?? 0) + 1)
      const request = messenger.request(address, { case: 'ping', value: {} }, ASK_TIMEOUT_MS)
      this.#ctx.detach(request.then(() => {
        if (this.#asks.get(record.id) === MAX_ASKS) this.#givenUp.add(record.id)
        this.check()
      }))
    }
    if (unasked.length === 0) this.#asks.clear()
  }

  /** Whether a peer that the run before may have told of a version has yet to answer; silent ones are given up. */
  #awaitsWitness (): boolean {
    return witnessOrder(this.#ctx.table).slice(0, START_ASKS).some(({ record }) => {
      return !this.#answered.has(record.id) && !this.#givenUp.has(record.id)
    })
  }

  /** Facts must come from a ready peer, since others may have missed some. */
  #loadFacts (): void {
    if (this.#factsLoaded || this.#isJoining || this.#ready.size === 0) return
    const { table, opts } = this.#ctx
    const member = table.get(opts.random.pick([...this.#ready]))
    if (member) this.#ctx.detach(this.#exchange(member.address))
  }

  /**
   * Reads the platform itself when the mesh does not help. Only a few daemons of the fleet do so in any second, so
   * that a restart of all leaves this to the relays.
   */
  async #askPlatform (): Promise<void> {
    const { platform, timers, random } = this.#ctx.opts
    if (timers.now() < this.#platformDueAt) return
    if (random.next() > START_READERS_PER_SECOND / this.#ctx.table.size) {
      this.#platformDueAt = timers.now() + 1_000
      return
    }
    this.#platformDueAt = timers.now() + backoffMs(this.#platformAttempt++, {
      baseMs: START_BACKOFF_MS, capMs: START_BACKOFF_CAP_MS
    }, random)
    if (this.#ctx.table.size === 1) await this.#findMesh()
    const stored = await platform.get(HEAD_KEY)
    if (!stored) return
    const head = decodeHead(stored.value)
    this.#ctx.floor.raise(head.version)
    for (const object of await platform.list(MOVE_PREFIX)) {
      const record = decodeMoveRecord(object.value)
      if (record) this.#ctx.mergeFacts(factsOfRecord(record))
    }
    if (head.version > this.#ctx.holder.snapshot.version) await takeHead(this.#ctx, head, 'pull')
    this.sawFacts()
    this.sawHead()
  }

  /** All seeds are gone: the relays' leases name daemons of the mesh. */
  async #findMesh (): Promise<void> {
    const own = this.#ctx.table.self.id
    for (const object of await this.#ctx.opts.platform.list(LEASE_PREFIX)) {
      const lease = decodeLease(object)
      if (!lease || lease.holder === own || lease.holder === '') continue
      await this.#exchange(lease.address).catch(() => {})
      if (this.#joinedAt !== undefined) return
    }
  }

  #platformDelay (): number {
    const { random } = this.#ctx.opts
    return JOIN_GRACE_MS + random.next() * START_BACKOFF_MS
  }
}
