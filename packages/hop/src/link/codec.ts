import { Packr } from 'msgpackr'
import { BadMessage } from '../errors.js'
import type { CallMessage, HopReply, TargetLoad } from './messages.js'

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true, int64AsType: 'number' })

/** Raised whenever the fields below change; a peer with another number is not understood. */
const PROTOCOL = 3

/** Calls and their replies are most of what daemons send, so their fields go by position rather than by name. */
const CALL_FIELDS = [
  'key', 'requestId', 'incarnation', 'mode', 'service', 'targetId', 'route', 'method', 'url', 'headers', 'body', 'deadlineMs',
  'targetLatencyMs', 'priority', 'idempotent', 'nested', 'repeat'
] as const satisfies readonly (keyof CallMessage)[]
const REPLY_FIELDS = ['kind', 'reason', 'status', 'headers', 'body', 'unframed', 'load'] as const
const LOAD_FIELDS = ['targetId', 'running', 'queued', 'slots', 'pace', 'failing', 'pressedPriority', 'pressedShare'] as const satisfies readonly (keyof TargetLoad)[]

type Fields = Readonly<Record<string, unknown>>

export function encode (value: unknown): Buffer {
  return packr.pack(value)
}

/** Checks a message of the expected shape; peers run the same protocol, so only the fields that must exist are looked at. */
export function checked<T extends object> (value: unknown, required: readonly (keyof T & string)[]): T {
  if (typeof value !== 'object' || value === null) throw new BadMessage('a peer sent a message that is no object')
  for (const field of required) {
    if (!(field in value)) throw new BadMessage(`a peer sent a message without "${field}"`)
  }
  return value as T
}

export function packCall (message: CallMessage): unknown[] {
  return [PROTOCOL, ...values(message as unknown as Fields, CALL_FIELDS)]
}

export function unpackCall (value: unknown): CallMessage {
  return fieldsOf(value, CALL_FIELDS) as unknown as CallMessage
}

export function packReply (reply: HopReply): unknown[] {
  const load = reply.load && values(rounded(reply.load) as unknown as Fields, LOAD_FIELDS)
  return [PROTOCOL, ...values({ ...reply, load }, REPLY_FIELDS)]
}

export function unpackReply (value: unknown): HopReply {
  const fields = fieldsOf(value, REPLY_FIELDS)
  const load = fields['load']
  if (load !== undefined) fields['load'] = fieldsOf([PROTOCOL, ...Array.isArray(load) ? load as unknown[] : []], LOAD_FIELDS)
  return fields as unknown as HopReply
}

function values (message: Fields, names: readonly string[]): unknown[] {
  return names.map((name) => message[name])
}

function fieldsOf (list: unknown, names: readonly string[]): Record<string, unknown> {
  if (!Array.isArray(list) || list[0] !== PROTOCOL || list.length !== names.length + 1) {
    throw new BadMessage('a peer speaks another protocol')
  }
  const fields: Record<string, unknown> = {}
  for (let i = 0; i < names.length; i++) {
    const field = list[i + 1] as unknown
    if (field !== null && field !== undefined) fields[names[i]!] = field
  }
  return fields
}

/** Two digits are enough for estimates. */
function rounded (load: TargetLoad): TargetLoad {
  const twoDigits = (n: number): number => Math.round(n * 100) / 100
  const { pace, failing, pressedShare } = load
  return { ...load, pace: twoDigits(pace), failing: twoDigits(failing), ...pressedShare === undefined ? {} : { pressedShare: twoDigits(pressedShare) } }
}
