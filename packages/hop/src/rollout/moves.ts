import type { MoveFact, Random, Timers } from '@lentilwheel/core'
import type { StoreCodec } from '../daemon/codec.js'
import type { Fleet } from '../fleet/fleet.js'
import type { HostRecord, TargetRecord } from '../fleet/records.js'
import type { CallLog } from '../observe/callLog.js'
import type { VersionChooser } from '../outbound/outboundDesk.js'
import { Follower } from '../store/follower.js'
import type { ObjectStore, StoredObject } from '../store/objectStore.js'
import type { MoveOrder } from './order.js'
import { VersionRules } from './versionRules.js'

export interface MovesOptions {
  fleet: Fleet
  store: ObjectStore
  codec: StoreCodec
  timers: Timers
  random: Random
  log: CallLog
}

const WATCH_MS = 15_000
const GATHER_MS = 100

/** This daemon's part in the moves of services between versions. */
export class Moves implements VersionChooser {
  readonly #opts: MovesOptions
  readonly #follower: Follower
  readonly #rules: VersionRules

  constructor (opts: MovesOptions) {
    const { store, codec, timers, random, log } = opts
    this.#opts = opts
    this.#rules = new VersionRules(random)
    this.#follower = new Follower({
      store,
      kind: codec.moves.kind,
      timers,
      random,
      log,
      waitMs: WATCH_MS,
      gatherMs: GATHER_MS,
      onList: (objects) => { for (const object of objects) this.#onOrder(object) },
      onChange: (object, deleted) => { if (!deleted) this.#onOrder(object) }
    })
  }

  start (): void {
    this.#follower.run()
  }

  setHosts (records: readonly HostRecord[]): void {
    this.#rules.setHosts(records)
  }

  onFact (_fact: MoveFact): void {}

  onResult (_target: TargetRecord, _route: string, _ok: boolean, _ms: number): void {}

  choose (service: string): ((version: string) => boolean) | undefined {
    return this.#rules.choose(service)
  }

  isOpen (service: string, version: string): boolean {
    return this.#rules.isOpen(service, version)
  }

  #onOrder ({ name, spec, status, revision }: StoredObject): void {
    const order = this.#opts.codec.decodeMove(name, spec, status, revision)
    if (!order) return this.#opts.log.decision('moveUnreadable', { name, revision })
    this.#opts.log.decision('moveOrder', { ...order })
    this.#rules.setOrder(order)
  }
}

export type { MoveOrder }
