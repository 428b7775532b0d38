import { isIP } from 'node:net'
import { MOVE_OUTCOMES, type MoveFact } from '@lentilwheel/core'
import type { BriefReport } from '@lentilwheel/moves'
import type { EvacuationRecord } from '../evacuation/evacuationRecord.js'
import { MOVE_STATES, type MoveOrder } from '../rollout/moveOrder.js'
import type { TrustedVersion } from '../rollout/trustedVersion.js'
import { isStoreRevision } from '../store/storeRevision.js'
import { MAX_DEPARTURES, TARGET_STATES, type Departure, type HostRecord, type TargetRecord } from './hostRecord.js'

// The checks that records pass wherever they enter a daemon: from the store, from a peer, or from the target beside it.
// What passes is a copy with the known fields only, so that nothing else is kept or passed on.

const MAX_TEXT_LENGTH = 1_024
const MAX_PORT = 65_535
const MAX_SLOTS = 1_000_000
/** Times in the future are accepted up to this, as clocks of hosts differ. */
const MAX_CLOCK_SKEW_MS = 24 * 3_600_000
const MAX_DURATION_MS = 30 * 24 * 3_600_000
/** Changes of a record, announcements of a target and reports since a start; one in each millisecond for days. */
const MAX_SEQUENCE = 1_000_000_000
/** Stages and rows of results; far more than any move or report has. */
const MAX_COUNT = 1_000_000_000
const MAX_REPORT_ROWS = 10_000

type Fields<T> = Partial<Record<keyof T, unknown>>

/** The record of a daemon that a value holds; undefined if a field is missing or invalid. `wallNow`: Unix milliseconds. */
export function readHostRecord (value: unknown, wallNow: number): HostRecord | undefined {
  const { host, dataCentre, address, port, incarnation, sequence, stopping, target, leavings } = fieldsOf<HostRecord>(value)
  if (!isName(host) || !isName(dataCentre) || !isAddress(address) || !isPort(port)) return undefined
  if (!isTime(incarnation, wallNow) || !isWhole(sequence, MAX_SEQUENCE) || typeof stopping !== 'boolean') return undefined
  const record: HostRecord = { host, dataCentre, address, port, incarnation, sequence, stopping }
  if (isPresent(target)) {
    const read = readTargetRecord(target, wallNow)
    if (!read) return undefined
    record.target = read
  }
  if (isPresent(leavings)) {
    const read = readDepartures(leavings, wallNow)
    if (!read) return undefined
    record.leavings = read
  }
  return record
}

/** The target that a value holds; undefined if a field is missing or invalid. */
export function readTargetRecord (value: unknown, wallNow: number): TargetRecord | undefined {
  const { id, startedAt, service, version, slots, state, coldMs } = fieldsOf<TargetRecord>(value)
  if (!isName(id) || !isName(service) || !isText(version) || !isTime(startedAt, wallNow)) return undefined
  if (!isWhole(slots, MAX_SLOTS) || slots === 0 || !isOneOf(TARGET_STATES, state) || !isAmount(coldMs, MAX_DURATION_MS)) return undefined
  return { id, startedAt, service, version, slots, state, coldMs }
}

/** Whether a number can be that of an announcement since the start of a target. */
export function isSequence (value: unknown): value is number {
  return isWhole(value, MAX_SEQUENCE)
}

/** The departure that a value holds; undefined if a field is missing or invalid. */
export function readDeparture (value: unknown, wallNow: number): Departure | undefined {
  const { id, startedAt, state } = fieldsOf<Departure>(value)
  if (!isName(id) || !isTime(startedAt, wallNow) || !isOneOf(['draining', 'gone'] as const, state)) return undefined
  return { id, startedAt, state }
}

/** The order of a move that a value holds; undefined if a field is missing or invalid. */
export function readMoveOrder (value: unknown): MoveOrder | undefined {
  const { id, givenAt, service, to, durationMs, state, revision } = fieldsOf<MoveOrder>(value)
  if (!isName(id) || !isName(service) || !isName(to) || !isAmount(durationMs, MAX_DURATION_MS)) return undefined
  if (!isOneOf(MOVE_STATES, state) || !isStoreRevision(revision)) return undefined
  if (isPresent(givenAt) && !Number.isSafeInteger(givenAt)) return undefined
  const order: MoveOrder = { id, service, to, durationMs, state, revision: { epoch: revision.epoch, number: revision.number } }
  return isPresent(givenAt) ? { ...order, givenAt: givenAt as number } : order
}

/** The trusted version of a service that a value holds; undefined if a field is missing or invalid. */
export function readTrustedVersion (value: unknown): TrustedVersion | undefined {
  const { service, version, since } = fieldsOf<TrustedVersion>(value)
  if (!isName(service) || !isText(version) || !isStoreRevision(since)) return undefined
  return { service, version, since: { epoch: since.epoch, number: since.number } }
}

/** The state of a data centre that a value holds; undefined if a field is missing or invalid. */
export function readEvacuation (value: unknown): EvacuationRecord | undefined {
  const { dataCentre, isOrdered, revision } = fieldsOf<EvacuationRecord>(value)
  if (!isName(dataCentre) || typeof isOrdered !== 'boolean' || !isStoreRevision(revision)) return undefined
  return { dataCentre, isOrdered, revision: { epoch: revision.epoch, number: revision.number } }
}

/** The fact about a move that a value holds; undefined if a field is missing or invalid. */
export function readMoveFact (value: unknown, wallNow: number): MoveFact | undefined {
  const { kind, move, stage, share, reason, daemon, outcome, at } = fieldsOf<Record<'kind' | 'move' | 'stage' | 'share' | 'reason' | 'daemon' | 'outcome' | 'at', unknown>>(value)
  if (!isName(move) || !isTime(at, wallNow)) return undefined
  if (kind === 'stage') return isWhole(stage, MAX_COUNT) && isAmount(share, 1) ? { kind, move, stage, share, at } : undefined
  if (!isText(reason)) return undefined
  if (kind === 'rollback') return isName(daemon) ? { kind, move, reason, at, daemon } : undefined
  return kind === 'outcome' && isOneOf(MOVE_OUTCOMES, outcome) ? { kind, move, outcome, reason, at } : undefined
}

/** The results of versions in a move that a value holds; undefined if a field is missing or invalid. */
export function readBriefReport (value: unknown): BriefReport | undefined {
  const { service, daemon, incarnation, sequence, rows } = fieldsOf<BriefReport>(value)
  if (!isName(service) || !isName(daemon) || !isAmount(incarnation, Number.MAX_SAFE_INTEGER) || !isWhole(sequence, MAX_SEQUENCE)) return undefined
  if (!Array.isArray(rows) || rows.length > MAX_REPORT_ROWS) return undefined
  const read = rows.map(readRow)
  return read.every((row) => row !== undefined) ? { service, daemon, incarnation, sequence, rows: read } : undefined
}

function readRow (value: unknown): BriefReport['rows'][number] | undefined {
  const { route, version, calls, errors, slow, ms } = fieldsOf<BriefReport['rows'][number]>(value)
  if (!isText(route) || !isText(version) || !isAmount(ms, Number.MAX_SAFE_INTEGER)) return undefined
  if (!isAmount(calls, MAX_COUNT) || !isAmount(errors, MAX_COUNT) || !isAmount(slow, MAX_COUNT)) return undefined
  return { route, version, calls, errors, slow, ms }
}

function readDepartures (value: unknown, wallNow: number): Departure[] | undefined {
  if (!Array.isArray(value) || value.length > MAX_DEPARTURES) return undefined
  const read = value.map((departure) => readDeparture(departure, wallNow))
  return read.every((departure) => departure !== undefined) ? read : undefined
}

function fieldsOf<T> (value: unknown): Fields<T> {
  return typeof value === 'object' && value !== null ? value as Fields<T> : {}
}

function isPresent (value: unknown): boolean {
  return value !== undefined && value !== null
}

function isText (value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_TEXT_LENGTH
}

/** Whether a value is a text of visible characters, which may stand in a header, a path or a log line. */
function isName (value: unknown): value is string {
  return isText(value) && /^[^\s\p{C}]+$/u.test(value)
}

function isAddress (value: unknown): value is string {
  return typeof value === 'string' && isIP(value) !== 0
}

function isPort (value: unknown): value is number {
  return isWhole(value, MAX_PORT) && value > 0
}

function isWhole (value: unknown, max: number): value is number {
  return Number.isInteger(value) && isAmount(value, max)
}

function isAmount (value: unknown, max: number): value is number {
  return typeof value === 'number' && value >= 0 && value <= max
}

function isTime (value: unknown, wallNow: number): value is number {
  return isAmount(value, wallNow + MAX_CLOCK_SKEW_MS)
}

function isOneOf<T extends string> (words: readonly T[], value: unknown): value is T {
  return (words as readonly unknown[]).includes(value)
}
