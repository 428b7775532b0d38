import { checkConfig, toObjects, type ConfigInput } from '@lentilwheel/config'
import { createChange } from '@lentilwheel/config'
import { acceptChange, readHead, type PlatformClient } from '@lentilwheel/platform'

const ROUTES_PER_SERVICE = 4

/**
 * Builds a configuration of many services with a few routes each. The revision of a service (by its index) goes into
 * the service's timeout, so that a higher revision is a change of that service.
 */
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

/** A configuration change that the platform has accepted. */
export interface AcceptedChange {
  version: number
  rootHash: string
  /** Unix milliseconds at which the platform's response arrived. */
  acceptedAt: number
  /** Length of the keys and canonical texts of the changed objects. */
  encodedBytes: number
}

/** Publishes a configuration to the platform as `lentilwheel apply` does, without waiting for the daemons. */
export async function applyConfig (client: PlatformClient, input: ConfigInput, id: string): Promise<AcceptedChange> {
  const base = await readHead(client)
  const objects = toObjects(checkConfig(input))
  const change = createChange(base.head, objects, { id, author: 'bench', acceptedAt: Date.now() })
  const { version } = await acceptChange(client, base, change)
  const acceptedAt = Date.now()
  const { head } = await readHead(client)
  const encodedBytes = change.put.reduce((sum, object) => sum + object.key.length + object.text.length, 0)
  return { version, rootHash: head.rootHash, acceptedAt, encodedBytes }
}
