import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import {
  ENDPOINT_STATES, MOVE_OUTCOMES, type Endpoint, type EvidenceReport, type MoveFact, type MoveOutcome
} from '@lentilwheel/core'
import { hashText, type ConfigObject, type Delta } from '@lentilwheel/config'
import { MeshBadMessage } from '../errors.js'
import {
  ConfigDeltaSchema, EndpointSchema, EvidenceSchema, FactSchema, RecordListSchema,
  type Endpoint as WireEndpoint, type Evidence, type Fact, type Packed, type Record as MemberRecord
} from '../gen/mesh_pb.js'
import { ipToNumber, numberToIp } from './address.js'
import { pack, unpack } from './packed.js'

/** Encodes a target; an address equal to its daemon's is left out. */
export function endpointToWire (endpoint: Endpoint, daemonAddress: number): WireEndpoint {
  const address = ipToNumber(endpoint.address)
  return create(EndpointSchema, {
    name: endpoint.id.slice(endpoint.id.indexOf('/') + 1),
    service: endpoint.service,
    version: endpoint.version,
    address: address === daemonAddress ? 0 : address,
    port: endpoint.port,
    slots: endpoint.slots,
    connections: endpoint.connections,
    state: ENDPOINT_STATES.indexOf(endpoint.state),
    load: endpoint.load === undefined ? 0 : 1 + Math.round(100 * Math.min(1, Math.max(0, endpoint.load)))
  })
}

export function endpointFromWire (wire: WireEndpoint, record: MemberRecord): Endpoint {
  const endpoint: Endpoint = {
    id: `${record.id}/${wire.name}`,
    service: wire.service,
    version: wire.version,
    address: numberToIp(wire.address === 0 ? record.address : wire.address),
    port: wire.port,
    dataCentre: record.dataCentre,
    slots: wire.slots,
    connections: wire.connections,
    state: ENDPOINT_STATES[wire.state] ?? 'gone'
  }
  return wire.load === 0 ? endpoint : { ...endpoint, load: (wire.load - 1) / 100 }
}

/** Kinds of facts by their number on the wire. */
const FACT_KINDS = ['stage', 'rollback', 'outcome'] as const

export function factToWire (fact: MoveFact): Fact {
  return create(FactSchema, { ...fact, kind: FACT_KINDS.indexOf(fact.kind) })
}

export function factFromWire (wire: Fact): MoveFact {
  const { move, at, reason, stage, share, daemon } = wire
  const kind = FACT_KINDS[wire.kind]
  if (kind === 'stage') return { kind, move, stage, share, at }
  if (kind === 'rollback') return { kind, move, reason, at, daemon }
  if (kind === 'outcome') return { kind, move, outcome: parseOutcome(wire.outcome), reason, at }
  throw new MeshBadMessage(`unknown kind ${wire.kind} of a fact`)
}

function parseOutcome (text: string): MoveOutcome {
  const outcome = MOVE_OUTCOMES.find((known) => known === text)
  if (!outcome) throw new MeshBadMessage(`unknown outcome "${text}" of a move`)
  return outcome
}

export function evidenceToWire (report: EvidenceReport): Evidence {
  return create(EvidenceSchema, report)
}

export function evidenceFromWire (wire: Evidence): EvidenceReport {
  const rows = wire.rows.map(({ route, version, calls, errors, buckets }) => ({ route, version, calls, errors, buckets }))
  return { move: wire.move, daemon: wire.daemon, rows, ...(wire.stage === undefined ? {} : { stage: wire.stage }) }
}

export function packDelta (delta: Delta): Packed {
  const { from, to, changeId, acceptedAt, removed } = delta
  const changed = delta.changed.map(({ key, text }) => ({ key, text }))
  const rootHash = new Uint8Array(Buffer.from(delta.rootHash, 'hex'))
  const wire = create(ConfigDeltaSchema, { from, to, changeId, acceptedAt, changed, removed, rootHash })
  return pack(toBinary(ConfigDeltaSchema, wire))
}

/** Decodes a delta. Object hashes are not sent but computed here; applying the delta checks them against the root hash. */
export function unpackDelta (packed: Packed | undefined): Delta | undefined {
  const bytes = unpack(packed)
  if (!bytes) return undefined
  const { from, to, changeId, acceptedAt, removed, changed, rootHash } = decode(ConfigDeltaSchema, bytes)
  return {
    from,
    to,
    changeId,
    acceptedAt,
    removed,
    changed: changed.map(({ key, text }): ConfigObject => ({ key, text, hash: hashText(`${key}\n${text}`) })),
    rootHash: Buffer.from(rootHash).toString('hex')
  }
}

export function packRecords (records: MemberRecord[]): Packed {
  return pack(toBinary(RecordListSchema, create(RecordListSchema, { records })))
}

export function unpackRecords (packed: Packed | undefined): MemberRecord[] {
  const bytes = unpack(packed)
  return bytes ? decode(RecordListSchema, bytes).records : []
}

/** Decodes a message from a peer; throws `MeshBadMessage` if its bytes are malformed. */
export function decode<S extends Parameters<typeof fromBinary>[0]> (schema: S, bytes: Uint8Array) {
  try {
    return fromBinary<S>(schema, bytes)
  } catch (err) {
    throw new MeshBadMessage(`cannot decode ${schema.name}`, err)
  }
}
