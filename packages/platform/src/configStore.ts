import {
  applyChange, buildSnapshot, canonicalJson, checkRebase, EMPTY_HEAD, HashMismatch, hashText,
  MAX_BUNDLE_BYTES, MAX_HEAD_BUNDLES, verifyObject, type Change, type ConfigObject, type Head, type Snapshot
} from '@lentilwheel/config'
import type { PlatformClient } from './platformClient.js'
import { PlatformBadAnswer, PlatformConflict, PlatformOutcomeUnknown } from './errors.js'
import { decodeHead, encodeHead } from './headCodec.js'
import { ACCOUNT_PREFIX, decodeAccount } from './account.js'

/** Key of the head, the only mutable object of the configuration: the current version and where its objects are stored. */
export const HEAD_KEY = 'config/head'

export interface StoredHead {
  head: Head
  revision: number
}

export interface AcceptanceResult {
  version: number
  /** True if an earlier attempt, whose response was lost, had accepted the change. */
  wasAlreadyAccepted: boolean
}

/** Rebases and conditional writes that one change may take before the conflict is reported. */
const MAX_ACCEPT_ATTEMPTS = 8

export function bundleKey (hash: string): string {
  return `config/bundle/${hash}`
}

/** Reads the head; an empty one at revision 0 if none is stored. */
export async function readHead (client: PlatformClient): Promise<StoredHead> {
  const stored = await client.get(HEAD_KEY)
  return stored ? { head: decodeHead(stored.value), revision: stored.revision } : { head: EMPTY_HEAD, revision: 0 }
}

/**
 * Accepts a change atomically: writes its objects in immutable bundles first, then updates the head with one
 * conditional write. If the response to that write is lost, the head is read back to look for the change id.
 * A change whose base is outdated is rebased, or fails with ChangeConflict if a later change touched the same objects.
 */
export async function acceptChange (client: PlatformClient, base: StoredHead, change: Change): Promise<AcceptanceResult> {
  let current = base
  for (let attempt = 0; attempt < MAX_ACCEPT_ATTEMPTS; attempt++) {
    const accepted = current.head.changes.find((record) => record.id === change.id)
    if (accepted) return { version: accepted.version, wasAlreadyAccepted: true }
    checkRebase(base.head, current.head, change)
    const version = await tryAccept(client, current, change)
    if (version !== undefined) return { version, wasAlreadyAccepted: false }
    current = await readHead(client)
  }
  throw new PlatformConflict(`the head changed ${MAX_ACCEPT_ATTEMPTS} times while change ${change.id} was written`)
}

/** Makes one attempt; returns undefined if the head has changed and has to be read again. */
async function tryAccept (client: PlatformClient, current: StoredHead, change: Change): Promise<number | undefined> {
  let next: Head
  try {
    const raisedHead = { ...current.head, version: Math.max(current.head.version, await highestActiveVersion(client)) }
    await checkResultingConfig(client, raisedHead, change)
    next = await writeBundles(client, raisedHead, change)
  } catch (err) {
    if (await isSuperseded(client, current, err)) return undefined
    throw err
  }
  try {
    await client.put(HEAD_KEY, encodeHead(next), { ifRevision: current.revision })
  } catch (err) {
    if (err instanceof PlatformConflict) return undefined
    if (!(err instanceof PlatformOutcomeUnknown) && !(err instanceof PlatformBadAnswer)) throw err
    return await resolveLostResponse(client, change, err)
  }
  await removeObsoleteBundles(client, current.head, next)
  return next.version
}

/**
 * Highest version that daemons report as active. It exceeds the head's version after the head was restored from a
 * backup, and daemons ignore any version that is not higher than their own.
 */
async function highestActiveVersion (client: PlatformClient): Promise<number> {
  let highest = 0
  for (const { value } of await client.list(ACCOUNT_PREFIX)) {
    highest = Math.max(highest, ...Object.keys(decodeAccount(value)?.inForce ?? {}).map(Number))
  }
  return highest
}

/** Whether a bundle is missing only because another operator's change has compacted the bundles meanwhile. */
async function isSuperseded (client: PlatformClient, current: StoredHead, err: unknown): Promise<boolean> {
  if (!(err instanceof HashMismatch)) return false
  return (await readHead(client)).revision !== current.revision
}

/** Reads the head back after a lost response; if that fails too, the outcome stays unknown. */
async function resolveLostResponse (client: PlatformClient, change: Change, cause: Error): Promise<number | undefined> {
  try {
    const { head } = await readHead(client)
    return head.changes.find((record) => record.id === change.id)?.version
  } catch {
    throw new PlatformOutcomeUnknown(`the answer to change ${change.id} was lost and the head cannot be read back`, cause)
  }
}

/** Removes bundles that compaction replaced, best effort: a bundle left behind does no harm. */
async function removeObsoleteBundles (client: PlatformClient, before: Head, after: Head): Promise<void> {
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

/** Validates the merged configuration: two changes that are valid alone may together leave a dangling reference. */
async function checkResultingConfig (client: PlatformClient, head: Head, change: Change): Promise<void> {
  const objects = await loadObjects(client, head)
  for (const key of change.remove) objects.delete(key)
  for (const object of change.put) objects.set(object.key, object)
  const { rootHash, version } = applyChange(head, change, [])
  buildSnapshot({ version, rootHash, changeId: change.id, acceptedAt: change.acceptedAt }, objects)
}

/** Writes the objects of the change as bundles, or of the whole version if the head names too many bundles already. */
async function writeBundles (client: PlatformClient, head: Head, change: Change): Promise<Head> {
  const isCompacting = head.bundles.length >= MAX_HEAD_BUNDLES
  const next = applyChange(isCompacting ? { ...head, bundles: [] } : head, change, [])
  const objects = isCompacting ? await loadResultingObjects(client, head, change) : change.put
  const hashes: string[] = []
  for (const text of packBundles(objects)) {
    const hash = hashText(text)
    hashes.push(hash)
    await putIfAbsent(client, bundleKey(hash), new TextEncoder().encode(text))
  }
  return { ...next, bundles: [...new Set([...next.bundles, ...hashes])] }
}

async function loadResultingObjects (client: PlatformClient, head: Head, change: Change): Promise<ConfigObject[]> {
  const objects = await loadObjects(client, head)
  for (const key of change.remove) objects.delete(key)
  for (const object of change.put) objects.set(object.key, object)
  return [...objects.values()]
}

/** Writes a content-addressed value. After a conflict, or a lost response, the key can only hold the same bytes. */
async function putIfAbsent (client: PlatformClient, key: string, value: Uint8Array): Promise<void> {
  try {
    await client.put(key, value, { ifRevision: 0 })
  } catch (err) {
    if (err instanceof PlatformConflict) return
    if (err instanceof PlatformOutcomeUnknown && await client.get(key)) return
    throw err
  }
}

/** Splits objects into JSON texts of at most MAX_BUNDLE_BYTES; an object larger than that gets a bundle of its own. */
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

/** Objects in memory, by key; those whose hash is unchanged are not loaded again. */
export type KnownObjects = ReadonlyMap<string, ConfigObject>

/** Loads the objects that a head names and verifies their hashes; reads only as many bundles as it needs, newest first. */
export async function loadObjects (
  client: PlatformClient, head: Head, known: KnownObjects = new Map()
): Promise<Map<string, ConfigObject>> {
  const found = new Map<string, ConfigObject>()
  const missing = new Map(Object.entries(head.objects))
  for (const [key, hash] of missing) {
    const cached = known.get(key)
    if (cached?.hash !== hash) continue
    found.set(key, cached)
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
  if (missing.size > 0) throw new HashMismatch(`no bundle contains ${[...missing.keys()].slice(0, 5).join(', ')}`)
  return found
}

async function readBundle (client: PlatformClient, hash: string): Promise<ConfigObject[]> {
  const stored = await client.get(bundleKey(hash))
  if (!stored) throw new HashMismatch(`bundle ${hash} does not exist`)
  const text = new TextDecoder().decode(stored.value)
  if (hashText(text) !== hash) throw new HashMismatch(`content of bundle ${hash} does not match its hash`)
  const objects = JSON.parse(text) as ConfigObject[]
  return objects.map((object) => verifyObject(object.key, object.text, object.hash))
}

/** Loads the configuration version that a head names. */
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
