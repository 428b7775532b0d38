import {
  applyChange, buildSnapshot, canonicalJson, checkRebase, EMPTY_HEAD, HashMismatch, hashText,
  MAX_BUNDLE_BYTES, MAX_HEAD_BUNDLES, verifyObject, type Change, type ConfigObject, type Head, type Snapshot
} from '@lentilwheel/config'
import type { PlatformClient } from './client.js'
import { PlatformBadAnswer, PlatformConflict, PlatformOutcomeUnknown } from './errors.js'
import { decodeHead, encodeHead } from './headCodec.js'
import { ACCOUNT_PREFIX, decodeAccount } from './account.js'

export const HEAD_KEY = 'config/head'

export interface StoredHead {
  head: Head
  revision: number
}

export interface Acceptance {
  version: number
  /** True when the change had been accepted by an earlier attempt whose answer was lost. */
  settled: boolean
}

/** Rebases and conditional writes that one acceptance may take before it reports the conflict. */
const MAX_ACCEPT_ROUNDS = 8

export function bundleKey (hash: string): string {
  return `config/bundle/${hash}`
}

export async function readHead (client: PlatformClient): Promise<StoredHead> {
  const stored = await client.get(HEAD_KEY)
  return stored ? { head: decodeHead(stored.value), revision: stored.revision } : { head: EMPTY_HEAD, revision: 0 }
}

/**
 * Accepts a change whole or not at all: bundles first, then one conditional update of the head.
 * A lost answer is settled by reading the head back for the change id.
 */
export async function acceptChange (client: PlatformClient, base: StoredHead, change: Change): Promise<Acceptance> {
  let current = base
  for (let round = 0; round < MAX_ACCEPT_ROUNDS; round++) {
    const accepted = current.head.changes.find((record) => record.id === change.id)
    if (accepted) return { version: accepted.version, settled: true }
    checkRebase(base.head, current.head, change)
    const version = await tryAccept(client, current, change)
    if (version !== undefined) return { version, settled: false }
    current = await readHead(client)
  }
  throw new PlatformConflict(`the head changed ${MAX_ACCEPT_ROUNDS} times while change ${change.id} was written`)
}

/** One conditional update; undefined when the head has to be read again. */
async function tryAccept (client: PlatformClient, current: StoredHead, change: Change): Promise<number | undefined> {
  let next: Head
  try {
    const raised = { ...current.head, version: Math.max(current.head.version, await highestInForce(client)) }
    await checkResult(client, raised, change)
    next = await writeBundles(client, raised, change)
  } catch (err) {
    if (await isSuperseded(client, current, err)) return undefined
    throw err
  }
  try {
    await client.put(HEAD_KEY, encodeHead(next), { ifRevision: current.revision })
  } catch (err) {
    if (err instanceof PlatformConflict) return undefined
    if (!(err instanceof PlatformOutcomeUnknown) && !(err instanceof PlatformBadAnswer)) throw err
    return await settleLost(client, change, err)
  }
  await removeRetired(client, current.head, next)
  return next.version
}

/**
 * Highest version that daemons report as in force. After the head was restored from a backup it is above the head's,
 * and a version that isn't above it would be ignored by every daemon.
 */
async function highestInForce (client: PlatformClient): Promise<number> {
  let highest = 0
  for (const { value } of await client.list(ACCOUNT_PREFIX)) {
    highest = Math.max(highest, ...Object.keys(decodeAccount(value)?.inForce ?? {}).map(Number))
  }
  return highest
}

/** A bundle is missing because another operator's change compacted the bundles meanwhile. */
async function isSuperseded (client: PlatformClient, current: StoredHead, err: unknown): Promise<boolean> {
  if (!(err instanceof HashMismatch)) return false
  return (await readHead(client)).revision !== current.revision
}

/** Reads the head back after a lost answer; when that fails too, the outcome stays unknown. */
async function settleLost (client: PlatformClient, change: Change, lost: Error): Promise<number | undefined> {
  try {
    const { head } = await readHead(client)
    return head.changes.find((record) => record.id === change.id)?.version
  } catch {
    throw new PlatformOutcomeUnknown(`the answer to change ${change.id} was lost and the head cannot be read back`, lost)
  }
}

/** Removes bundles that compaction replaced; what fails is left behind and does no harm. */
async function removeRetired (client: PlatformClient, before: Head, after: Head): Promise<void> {
  const kept = new Set(after.bundles)
  for (const hash of before.bundles) {
    if (kept.has(hash)) continue
    try {
      const stored = await client.get(bundleKey(hash))
      if (stored) await client.remove(stored.key, { ifRevision: stored.revision })
    } catch {
      return
    }
  }
}

/** A rebased change may leave an open reference that neither change has by itself. */
async function checkResult (client: PlatformClient, head: Head, change: Change): Promise<void> {
  const objects = await loadObjects(client, head)
  for (const key of change.remove) objects.delete(key)
  for (const object of change.put) objects.set(object.key, object)
  const { rootHash, version } = applyChange(head, change, [])
  buildSnapshot({ version, rootHash, changeId: change.id, acceptedAt: change.acceptedAt }, objects)
}

async function writeBundles (client: PlatformClient, head: Head, change: Change): Promise<Head> {
  const compact = head.bundles.length >= MAX_HEAD_BUNDLES
  const next = applyChange(compact ? { ...head, bundles: [] } : head, change, [])
  const objects = compact ? await objectsAfter(client, head, change) : change.put
  const hashes: string[] = []
  for (const text of packBundles(objects)) {
    const hash = hashText(text)
    hashes.push(hash)
    await writeImmutable(client, bundleKey(hash), new TextEncoder().encode(text))
  }
  return { ...next, bundles: [...new Set([...next.bundles, ...hashes])] }
}

async function objectsAfter (client: PlatformClient, head: Head, change: Change): Promise<ConfigObject[]> {
  const objects = await loadObjects(client, head)
  for (const key of change.remove) objects.delete(key)
  for (const object of change.put) objects.set(object.key, object)
  return [...objects.values()]
}

/** Content-addressed, so that a conflict or a lost answer means at worst that the same bytes are there. */
async function writeImmutable (client: PlatformClient, key: string, value: Uint8Array): Promise<void> {
  try {
    await client.put(key, value, { ifRevision: 0 })
  } catch (err) {
    if (err instanceof PlatformConflict) return
    if (err instanceof PlatformOutcomeUnknown && await client.get(key)) return
    throw err
  }
}

function * packBundles (objects: readonly ConfigObject[]): Generator<string> {
  let bundle: ConfigObject[] = []
  let bytes = 0
  for (const object of objects) {
    const size = Buffer.byteLength(canonicalJson(object)) + 1
    if (bytes + size > MAX_BUNDLE_BYTES && bundle.length > 0) {
      yield canonicalJson(bundle)
      bundle = []
      bytes = 0
    }
    bundle.push(object)
    bytes += size
  }
  if (bundle.length > 0) yield canonicalJson(bundle)
}

/** Objects already held, by hash; loading reads only the bundles that hold something new. */
export type KnownObjects = ReadonlyMap<string, ConfigObject>

/** Reads the objects that a head names and checks each against its hash. */
export async function loadObjects (
  client: PlatformClient, head: Head, known: KnownObjects = new Map()
): Promise<Map<string, ConfigObject>> {
  const found = new Map<string, ConfigObject>()
  const missing = new Map(Object.entries(head.objects))
  for (const [key, hash] of missing) {
    const held = known.get(key)
    if (held?.hash !== hash) continue
    found.set(key, held)
    missing.delete(key)
  }
  for (const hash of head.bundles.toReversed()) {
    if (missing.size === 0) break
    for (const object of await readBundle(client, hash)) {
      if (missing.get(object.key) !== object.hash) continue
      found.set(object.key, object)
      missing.delete(object.key)
    }
  }
  if (missing.size > 0) throw new HashMismatch(`no bundle holds ${[...missing.keys()].slice(0, 5).join(', ')}`)
  return found
}

async function readBundle (client: PlatformClient, hash: string): Promise<ConfigObject[]> {
  const stored = await client.get(bundleKey(hash))
  if (!stored) throw new HashMismatch(`bundle ${hash} does not exist`)
  const text = new TextDecoder().decode(stored.value)
  if (hashText(text) !== hash) throw new HashMismatch(`bundle ${hash} has other content than its hash names`)
  const objects = JSON.parse(text) as ConfigObject[]
  return objects.map((object) => verifyObject(object.key, object.text, object.hash))
}

/** Loads and builds the version that a head names. */
export async function loadSnapshot (client: PlatformClient, head: Head, known?: KnownObjects): Promise<Snapshot> {
  const objects = await loadObjects(client, head, known)
  const change = head.changes.at(-1)
  return buildSnapshot({
    version: head.version,
    rootHash: head.rootHash,
    changeId: change?.id ?? '',
    acceptedAt: change?.acceptedAt ?? 0
  }, objects)
}
