import { stringify } from 'yaml'
import {
  checkConfig, configSchema, ConfigInvalid, moveSchema, routeSchema, serviceSchema, type Config, type ConfigInput
} from '@lentilwheel/config'

type ServiceInput = NonNullable<ConfigInput['services']>[string]
type RouteInput = NonNullable<ConfigInput['routes']>[string]
type MoveInput = NonNullable<ConfigInput['moves']>[string]

/** What a service declares; `current` must be one of `versions`, which the compiler checks. */
export type ServiceOptions<V extends string> = Omit<ServiceInput, 'versions' | 'current'> & {
  /** Target versions that may exist. */
  readonly versions: readonly V[]
  /** Version that gets the traffic while no move changes it. */
  readonly current: NoInfer<V>
}

/** What a route matches and the declared service that answers. */
export type RouteOptions = Omit<RouteInput, 'service' | 'methods'> & {
  readonly service: ServiceRef
  /** Methods to match; all when absent. */
  readonly methods?: Readonly<RouteInput['methods']>
}

/** A rollout from one declared version of a service to another. */
export type MoveOptions<V extends string> = Omit<MoveInput, 'service' | 'from' | 'to' | 'by'> & {
  readonly service: ServiceRef<V>
  /** Old target version. */
  readonly from: NoInfer<V>
  /** New target version. */
  readonly to: NoInfer<V>
  /** Time by which all traffic is on the new version, as a Date or as ISO 8601 text. */
  readonly by: string | Date
}

/** A declared service. Routes and moves refer to it, so that a misspelt name or version does not compile. */
export interface ServiceRef<V extends string = string> {
  readonly name: string
  readonly versions: readonly V[]
}

type Section = 'services' | 'routes' | 'moves'

/** Fields in the order in which they are printed. */
const FIELD_ORDER: Record<Section, readonly string[]> = {
  services: Object.keys(serviceSchema.shape),
  routes: Object.keys(routeSchema.shape),
  moves: Object.keys(moveSchema.shape)
}

/**
 * Collects services, routes and moves and prints them as the configuration that `lentilwheel apply` takes.
 *
 * ```ts
 * const mesh = new ConfigBuilder()
 * const orders = mesh.service('orders', { versions: ['v1', 'v2'], current: 'v1' })
 * mesh.route('placeOrder', { service: orders, path: '/orders', methods: ['POST'], idempotent: false })
 * process.stdout.write(mesh.toYaml())
 * ```
 */
export class ConfigBuilder {
  readonly #services: Record<string, ServiceInput> = {}
  readonly #routes: Record<string, RouteInput> = {}
  readonly #moves: Record<string, MoveInput> = {}

  /** Declares a service and returns the reference that its routes and moves take. */
  service<const V extends string> (name: string, opts: ServiceOptions<V>): ServiceRef<V> {
    this.#add('services', this.#services, name, { ...opts, versions: [...opts.versions] })
    return { name, versions: opts.versions }
  }

  /** Declares a route; its name is what reports and `lentilwheel explain` call it. */
  route (name: string, opts: RouteOptions): this {
    const { service, methods, ...rest } = opts
    this.#add('routes', this.#routes, name, { ...rest, service: service.name, ...(methods && { methods: [...methods] }) })
    return this
  }

  /** Declares a move; a service has one at a time. */
  move<const V extends string> (id: string, opts: MoveOptions<V>): this {
    const { service, by, ...rest } = opts
    this.#add('moves', this.#moves, id, { ...rest, service: service.name, by: toIsoText(id, by) })
    return this
  }

  /** The configuration as written, checked; throws ConfigInvalid with every issue. */
  toInput (): ConfigInput {
    const input = { services: this.#services, routes: this.#routes, moves: this.#moves }
    checkConfig(input)
    return structuredClone(input)
  }

  /** The configuration with defaults filled in and durations in milliseconds. */
  toConfig (): Config {
    return configSchema.parse(this.toInput())
  }

  /** YAML in a stable order, so that two outputs differ only where the configuration does. */
  toYaml (): string {
    return stringify(inOrder(this.toInput()), { lineWidth: 0, aliasDuplicateObjects: false })
  }

  /** JSON in the same order. */
  toJson (): string {
    return JSON.stringify(inOrder(this.toInput()), null, 2) + '\n'
  }

  /** A second declaration of a name would replace the first without a word. */
  #add<T> (section: Section, entries: Record<string, T>, name: string, value: T): void {
    if (Object.hasOwn(entries, name)) {
      throw new ConfigInvalid('builder', [{
        code: 'duplicate-name', path: `${section}.${name}`, message: 'is declared twice'
      }])
    }
    entries[name] = value
  }
}

/** toISOString of an invalid Date throws an error that names neither the move nor the field. */
function toIsoText (id: string, by: string | Date): string {
  if (typeof by === 'string') return by
  if (!Number.isNaN(by.getTime())) return by.toISOString()
  throw new ConfigInvalid('builder', [{ code: 'bad-value', path: `moves.${id}.by`, message: 'is not a valid Date' }])
}

/** Sections and fields in the order of the schema, names sorted, unset fields left out. */
function inOrder (input: ConfigInput): Record<string, unknown> {
  const sections = Object.keys(configSchema.shape) as Section[]
  return Object.fromEntries(sections.flatMap((section) => {
    const entries = Object.entries(input[section] ?? {}).sort(([a], [b]) => (a < b ? -1 : 1))
    if (entries.length === 0) return []
    return [[section, Object.fromEntries(entries.map(([name, value]) => [name, fieldsInOrder(section, value)]))]]
  }))
}

function fieldsInOrder (section: Section, value: Readonly<Record<string, unknown>>): Record<string, unknown> {
  return Object.fromEntries(FIELD_ORDER[section]
    .filter((field) => value[field] !== undefined)
    .map((field) => [field, field === 'headers' ? sortedCopy(value[field] as Record<string, string>) : value[field]]))
}

function sortedCopy (record: Readonly<Record<string, string>>): Record<string, string> {
  return Object.fromEntries(Object.entries(record).sort(([a], [b]) => (a < b ? -1 : 1)))
}
