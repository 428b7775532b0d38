import { Packr } from 'msgpackr'
import { BadMessage } from '../errors.js'
import { readDeparture } from '../fleet/records.js'
import type { CallMessage, DaemonIdentity, HelloMessage, HopReply, TargetLoad } from './messages.js'

// Encodes messages between daemons as MessagePack.

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true, int64AsType: 'number' })

/** Has to be raised whenever the field lists below change; messages with another number are rejected. */
const PROTOCOL_VERSION = 9

/** Calls and replies make up most of the traffic between daemons, so their fields are sent by position without names. */
const CALL_FIELDS = [
  'key', 'requestId', 'incarnation', 'mode', 'service', 'targetId', 'route', 'method', 'url', 'headers', 'body', 'deadlineMs',
  'targetLatencyMs', 'priority', 'idempotent', 'nested', 'repeat', 'suspect', 'heardLimitPerS', 'workspace'
] as const satisfies readonly (keyof CallMessage)[]
const REPLY_FIELDS = ['kind', 'reason', 'status', 'headers', 'body', 'unframed', 'departure', 'isFinal', 'load', 'queuedMs', 'ranMs'] as const
const LOAD_FIELDS = ['targetId', 'running', 'queued', 'slots', 'pace', 'failing', 'pressedPriority', 'pressedShare', 'limitPerS', 'limitedMs', 'linkMs', 'linkMsPerKib', 'slowdown'] as const satisfies readonly (keyof TargetLoad)[]

const HELLO_FIELDS = ['wantedHost'] as const satisfies readonly (keyof HelloMessage)[]
const IDENTITY_FIELDS = ['host', 'incarnation'] as const satisfies readonly (keyof DaemonIdentity)[]

type FieldValues = Readonly<Record<string, unknown>>

/** Bytes that the encoder allocates at a time for small messages. */
const ENCODER_BUFFER_BYTES = 8_192
/** Messages from this length on make the encoder allocate several times as much. */
const LONG_MESSAGE_BYTES = 64 * 1024

export function encode (value: unknown): Buffer {
  const bytes = packr.pack(value)
  // The encoder would go on with what it allocated for a long message, and each later message would keep all of that from being freed.
  if (bytes.length >= LONG_MESSAGE_BYTES) packr.useBuffer(Buffer.allocUnsafeSlow(ENCODER_BUFFER_BYTES))
  return bytes
}

/** Checks that a message is an object with the required fields. Their types aren't checked, as all peers run the same protocol. */
export function validateFields<T extends object> (value: unknown, required: readonly (keyof T & string)[]): T {
  if (typeof value !== 'object' || value === null) throw new BadMessage('message from a peer is not an object')
  for (const field of required) {
    if (!(field in value)) throw new BadMessage(`message from a peer lacks the field "${field}"`)
  }
  return value as T
}

export function packCall (message: CallMessage): unknown[] {
  return [PROTOCOL_VERSION, ...packFields(message as unknown as FieldValues, CALL_FIELDS)]
}

export function unpackCall (value: unknown): CallMessage {
  return unpackFields(value, CALL_FIELDS) as unknown as CallMessage
}

export function packReply (reply: HopReply): unknown[] {
  const load = reply.load && packFields(compactLoad(reply.load) as unknown as FieldValues, LOAD_FIELDS)
  return [PROTOCOL_VERSION, ...packFields({ ...reply, load }, REPLY_FIELDS)]
}

/** `wallNow`: Unix milliseconds, against which the departure in the reply is checked; an invalid one is left out. */
export function unpackReply (value: unknown, wallNow: number): HopReply {
  const fields = unpackFields(value, REPLY_FIELDS)
  if (fields['departure'] !== undefined && !readDeparture(fields['departure'], wallNow)) delete fields['departure']
  if (fields['kind'] === 'response') checkResponse(fields)
  const load = fields['load']
  if (load !== undefined) fields['load'] = unpackLoad(load)
  return fields as unknown as HopReply
}

export function packHello (message: HelloMessage): unknown[] {
  return [PROTOCOL_VERSION, ...packFields(message as unknown as FieldValues, HELLO_FIELDS)]
}

export function unpackHello (value: unknown): HelloMessage {
  const { wantedHost } = unpackFields(value, HELLO_FIELDS)
  if (typeof wantedHost !== 'string') throw new BadMessage('hello from a peer names no host')
  return { wantedHost }
}

export function packIdentity (identity: DaemonIdentity): unknown[] {
  return [PROTOCOL_VERSION, ...packFields(identity as unknown as FieldValues, IDENTITY_FIELDS)]
}

export function unpackIdentity (value: unknown): DaemonIdentity {
  const { host, incarnation } = unpackFields(value, IDENTITY_FIELDS)
  if (typeof host !== 'string' || typeof incarnation !== 'number') throw new BadMessage('identity of a peer has a field of another type')
  return { host, incarnation }
}

/** A response is passed on to a caller, so a field of another type mustn't get that far. */
function checkResponse ({ status, headers, body }: Record<string, unknown>): void {
  if (!Number.isInteger(status) || !Array.isArray(headers) || !(body instanceof Uint8Array)) throw new BadMessage('response from a peer has a field of another type')
}

function unpackLoad (value: unknown): Record<string, unknown> {
  const load = unpackFields([PROTOCOL_VERSION, ...Array.isArray(value) ? value as unknown[] : []], LOAD_FIELDS)
  if (load['limitPerS'] === NO_LIMIT_CODE) load['limitPerS'] = Infinity
  return load
}

function packFields (message: FieldValues, names: readonly string[]): unknown[] {
  return names.map((name) => message[name])
}

/** Reads a protocol version followed by the values of the named fields; fields without a value are left out. */
function unpackFields (list: unknown, names: readonly string[]): Record<string, unknown> {
  if (!Array.isArray(list) || list[0] !== PROTOCOL_VERSION || list.length !== names.length + 1) {
    throw new BadMessage('message from a peer has another protocol version or number of fields')
  }
  const fields: Record<string, unknown> = {}
  for (let i = 0; i < names.length; i++) {
    const field = list[i + 1] as unknown
    if (field !== null && field !== undefined) fields[names[i]!] = field
  }
  return fields
}

/** Stands for "no limit" in messages, where infinity would take eight bytes more. */
const NO_LIMIT_CODE = -1

/** Rounds the estimates to two decimals, which is precise enough and keeps messages small. */
function compactLoad (load: TargetLoad): TargetLoad {
  const twoDecimals = (n: number): number => Math.round(n * 100) / 100
  const { pace, failing, pressedShare, limitPerS, limitedMs, linkMs, linkMsPerKib, slowdown } = load
  return {
    ...load,
    pace: twoDecimals(pace),
    failing: twoDecimals(failing),
    ...pressedShare === undefined ? {} : { pressedShare: twoDecimals(pressedShare) },
    ...limitPerS === Infinity ? { limitPerS: NO_LIMIT_CODE } : {},
    ...limitedMs === undefined ? {} : { limitedMs: Math.ceil(limitedMs) },
    ...linkMs === undefined || linkMsPerKib === undefined ? {} : { linkMs: Math.ceil(linkMs), linkMsPerKib: twoDecimals(linkMsPerKib) },
    ...slowdown === undefined ? {} : { slowdown: twoDecimals(slowdown) }
  }
}
