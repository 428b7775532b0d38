import { splitKey, type Config, type Head } from '@lentilwheel/config'
import { errorCode } from '@lentilwheel/core'
import {
  ACCOUNT_PREFIX, accountSchema, loadSnapshot, MOVE_PREFIX, moveRecordSchema, readHead, type Account,
  type PlatformClient, type StoredObject
} from '@lentilwheel/platform'
import type { z } from 'zod'
import type { FleetView } from './fleetView.js'

/** Reads the accepted configuration, the accounts and the progress of moves; a damaged object is left out with a notice. */
export async function readPlatformView (client: PlatformClient): Promise<FleetView> {
  const notices: string[] = []
  const [{ head }, accounts, records] = await Promise.all([
    readHead(client),
    listObjects(client, ACCOUNT_PREFIX, accountSchema, notices),
    listObjects(client, MOVE_PREFIX, moveRecordSchema, notices)
  ])
  const config = await loadConfigWithMoves(client, head, notices)
  const accepted = { version: head.version, changes: head.changes, ...(config && { config }) }
  return { source: 'platform', accepted, accounts, moveRecords: records, notices }
}

/** Status summaries of all data centres; damaged ones are left out. */
export async function readAccounts (client: PlatformClient): Promise<Account[]> {
  return await listObjects(client, ACCOUNT_PREFIX, accountSchema, [])
}

async function listObjects<S extends z.ZodType> (
  client: PlatformClient, prefix: string, schema: S, notices: string[]
): Promise<z.output<S>[]> {
  const stored = await client.list(prefix)
  return stored.flatMap((object) => {
    const parsed = schema.safeParse(parseStoredJson(object))
    if (parsed.success) return [parsed.data]
    const issue = parsed.error.issues[0]
    notices.push(`The object ${object.key} on the platform has another form than this command knows ` +
      `(${issue?.path.join('.') || 'value'}: ${issue?.message}) and is left out.`)
    return []
  })
}

function parseStoredJson (object: StoredObject): unknown {
  try {
    return JSON.parse(new TextDecoder().decode(object.value))
  } catch {
    return undefined
  }
}

/** Loads the configuration only if it declares moves. A damaged bundle gives a notice, so that `status` still works. */
async function loadConfigWithMoves (client: PlatformClient, head: Head, notices: string[]): Promise<Config | undefined> {
  const hasMoves = Object.keys(head.objects).some((key) => splitKey(key).kind === 'move')
  if (!hasMoves) return { services: {}, routes: {}, moves: {} }
  try {
    return (await loadSnapshot(client, head)).config
  } catch (err) {
    notices.push(`The moves of version ${head.version} could not be read: ${errorCode(err)}: ${(err as Error).message}`)
    return undefined
  }
}
