import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { create } from '@bufbuild/protobuf'
import { MeshBadMessage } from '../errors.js'
import { PackedSchema, type Packed } from '../gen/mesh_pb.js'

/** Shorter content doesn't shrink by deflate. */
const MIN_DEFLATE_BYTES = 200
/** Limit on what a peer can make this daemon inflate; larger than the largest configuration with its keys. */
const MAX_INFLATED_BYTES = 16 * 1024 * 1024

/** Deflates bytes if that makes them shorter. */
export function pack (bytes: Uint8Array): Packed {
  if (bytes.length >= MIN_DEFLATE_BYTES) {
    const deflated = new Uint8Array(deflateRawSync(bytes))
    if (deflated.length < bytes.length) {
      return create(PackedSchema, { content: { case: 'deflated', value: deflated } })
    }
  }
  return create(PackedSchema, { content: { case: 'plain', value: bytes } })
}

/** Content of a packed field, inflated; undefined if the field is absent. */
export function unpack (packed: Packed | undefined): Uint8Array | undefined {
  const content = packed?.content
  if (content?.case === 'plain') return content.value
  if (content?.case !== 'deflated') return undefined
  try {
    return new Uint8Array(inflateRawSync(content.value, { maxOutputLength: MAX_INFLATED_BYTES }))
  } catch (err) {
    throw new MeshBadMessage('cannot inflate packed content', err)
  }
}
