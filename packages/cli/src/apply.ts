import { changeAgainst, parseConfig, toObjects, touchedKeys } from '@lentilwheel/config'
import { acceptChange, readHead, type PlatformClient } from '@lentilwheel/platform'

export interface ApplyResult {
  changeId: string
  version: number
  /** Keys that the change touches; empty when the file is what is already in force. */
  keys: string[]
}

export interface ApplyOptions {
  bytes: Uint8Array
  file: string
  author: string
  changeId: string
  now: number
}

/** Checks a configuration file and has its difference to the version in force accepted. */
export async function applyFile (client: PlatformClient, opts: ApplyOptions): Promise<ApplyResult> {
  const wanted = toObjects(parseConfig(opts.bytes, opts.file))
  const base = await readHead(client)
  const change = changeAgainst(base.head, wanted, { id: opts.changeId, author: opts.author, acceptedAt: opts.now })
  const keys = touchedKeys(change)
  if (keys.length === 0) return { changeId: opts.changeId, version: base.head.version, keys }
  const accepted = await acceptChange(client, base, change)
  return { changeId: opts.changeId, version: accepted.version, keys }
}
