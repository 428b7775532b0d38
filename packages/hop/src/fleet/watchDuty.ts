import type { Timers } from '@lentilwheel/core'
import type { WatchTurn } from '../store/storeWatcher.js'
import type { HostRecord } from './hostRecord.js'

/** Daemons of a group that may watch, as the first ones or in the place of one that can't reach the store. */
const MAX_CANDIDATES = 8
/** Time for which a daemon counts as cut off from the store after it said so last; a watcher says so with each attempt. */
const STORE_LOST_MS = 10_000

/**
 * Assigns the watches of the store among a group of daemons: to the first ones by host name, and for those of them that can't reach the store also to the next
 * ones that can. Each daemon works that out for itself.
 */
export class WatchDuty {
  readonly #timers: Pick<Timers, 'now'>
  /** When each daemon said last that it can't reach the store. */
  readonly #storeLostAt = new Map<string, number>()

  constructor (timers: Pick<Timers, 'now'>) {
    this.#timers = timers
  }

  /** Records whether a daemon can reach the store; tells whether that is new. */
  setStoreLost (host: string, isLost: boolean): boolean {
    const wasLost = this.isStoreLost(host)
    if (isLost) this.#storeLostAt.set(host, this.#timers.now())
    else this.#storeLostAt.delete(host)
    return wasLost !== isLost
  }

  isStoreLost (host: string): boolean {
    return this.#timers.now() - (this.#storeLostAt.get(host) ?? -Infinity) < STORE_LOST_MS
  }

  /** Place of a daemon among those that watch in each data centre; undefined if it need not watch. */
  turnInDataCentres (own: HostRecord, candidates: readonly HostRecord[], perDataCentre: number): WatchTurn | undefined {
    return this.turn(own, byDataCentre(candidates), perDataCentre)
  }

  /** Place of a daemon among those that watch, `perGroup` in each group; undefined if it need not watch. */
  turn (own: HostRecord, groups: Iterable<readonly HostRecord[]>, perGroup: number): WatchTurn | undefined {
    const hosts = [...groups].flatMap((group) => this.#watchersOf(group, perGroup)).sort()
    const position = hosts.indexOf(own.host)
    return position < 0 ? undefined : { position, watchers: hosts.length }
  }

  #watchersOf (group: readonly HostRecord[], count: number): string[] {
    const candidates = firstHosts(group, MAX_CANDIDATES)
    const able = candidates.filter((host) => !this.isStoreLost(host))
    return [...new Set([...candidates.slice(0, count), ...able.slice(0, count)])]
  }
}

/** The first hosts by name, in order. */
export function firstHosts (records: readonly HostRecord[], count: number): string[] {
  const first: string[] = []
  for (const { host } of records) {
    const at = first.findIndex((other) => host < other)
    if (at >= 0) first.splice(at, 0, host)
    else if (first.length < count) first.push(host)
    if (first.length > count) first.pop()
  }
  return first
}

function byDataCentre (records: readonly HostRecord[]): Iterable<HostRecord[]> {
  const groups = new Map<string, HostRecord[]>()
  for (const record of records) {
    const group = groups.get(record.dataCentre)
    if (group) group.push(record)
    else groups.set(record.dataCentre, [record])
  }
  return groups.values()
}
