import { checkConfig, toObjects, type ConfigInput } from '@lentilwheel/config'
import { changeAgainst } from '@lentilwheel/config'
import { acceptChange, readHead, type PlatformClient } from '@lentilwheel/platform'

const ROUTES_PER_SERVICE = 4

/** A configuration of many services, each with some routes, whose content depends on the revision numbers given. */
export function fleetConfig (serviceCount: number, revisions: ReadonlyMap<number, number> = new Map()): ConfigInput {
  const services: Record<string, unknown> = {}
  const routes: Record<string, unknown> = {}
  for (let i = 0; i < serviceCount; i++) {
    const name = `service${i}`
    services[name] = {
      versions: ['v1', 'v2'], current: 'v1', slots: 6, connections: 100, timeout: `${2_000 + (revisions.get(i) ?? 0)}ms`
    }
    for (let r = 0; r < ROUTES_PER_SERVICE; r++) {
      routes[`${name}-${r}`] = { service: name, path: `/${name}/${r}/*`, methods: r === 0 ? ['POST'] : ['GET'] }
    }
  }
  return { services, routes } as ConfigInput
}

export interface AcceptedChange {
  version: number
  rootHash: string
  /** Unix milliseconds at which the accepted answer arrived. */
  acceptedAt: number
  /** Size of the changed objects in their canonical encoding. */
  encodedBytes: number
}

/** Has a configuration accepted, as `lentilwheel apply` does. */
export async function applyConfig (client: PlatformClient, input: ConfigInput, id: string): Promise<AcceptedChange> {
  const base = await readHead(client)
  const wanted = toObjects(checkConfig(input))
  const change = changeAgainst(base.head, wanted, { id, author: 'bench', acceptedAt: Date.now() })
  const { version } = await acceptChange(client, base, change)
  const acceptedAt = Date.now()
  const { head } = await readHead(client)
  const encodedBytes = change.put.reduce((sum, object) => sum + object.key.length + object.text.length, 0)
  return { version, rootHash: head.rootHash, acceptedAt, encodedBytes }
}
