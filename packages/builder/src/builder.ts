import { stringify } from 'yaml'
import {
  checkConfig, configSchema, ConfigInvalid, moveSchema, routeSchema, serviceSchema, type Config, type ConfigInput
} from '@lentilwheel/config'

type ServiceInput = NonNullable<ConfigInput['services']>[string]
type RouteInput = NonNullable<ConfigInput['routes']>[string]
type MoveInput = NonNullable<ConfigInput['moves']>[string]

/** Options of a service. The compiler checks that `current` is one of `versions`. */
export type ServiceOptions<V extends string> = Omit<ServiceInput, 'versions' | 'current'> & {
  /** Target versions that may exist. */
  readonly versions: readonly V[]
  /** Version that gets the traffic while no move changes it. */
  readonly current: NoInfer<V>
}

/** Options of a route: what it matches, and the declared service that answers. */
export type RouteOptions = Omit<RouteInput, 'service' | 'methods'> & {
  readonly service: ServiceRef
  /** Methods to match; all when absent. */
  readonly methods?: Readonly<RouteInput['methods']>
}

/** Options of a move, the rollout from one declared version of a service to another. */
export type MoveOptions<V extends string> = Omit<MoveInput, 'service' | 'from' | 'to' | 'by'> & {
  readonly service: ServiceRef<V>
  /** Old target version. */
  readonly from: NoInfer<V>
  /** New target version. */
  readonly to: NoInfer<V>
  /** Time by which all traffic is on the new version, as a Date or as ISO 8601 text. */
  readonly by: string | Date
}

/** Reference to a declared service. Routes and moves take it instead of a name, so that a misspelt name or version doesn't compile. */
export interface ServiceRef<V extends string = string> {
  readonly name: string
  readonly versions: readonly V[]
}

type Section = 'services' | 'routes' | 'moves'

/** Fields in the order of the output. */
const FIELD_ORDER: Record<Section, readonly string[]> = {
  services: Object.keys(serviceSchema.shape),
  routes: Object.keys(routeSchema.shape),
  moves: Object.keys(moveSchema.shape)
}

/**
 * Builds a configuration of services, routes and moves in TypeScript and writes it as YAML or JSON for
 * `lentilwheel apply`.
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

  /** Declares a service and returns the reference for its routes and moves. */
  service<const V extends string> (name: string, opts: ServiceOptions<V>): ServiceRef<V> {
    this.#add('services', this.#services, name, { ...opts, versions: [...opts.versions] })
    return { name, versions: opts.versions }
  }

  /** Declares a route. Reports and `lentilwheel explain` show it by its name. */
  route (name: string, opts: RouteOptions): this {
    const { service, methods, ...rest } = opts
    this.#add('routes', this.#routes, name, { ...rest, service: service.name, ...(methods && { methods: [...methods] }) })
    return this
  }

  /** Declares a move. A service can have one move at a time. */
  move<const V extends string> (id: string, opts: MoveOptions<V>): this {
    const { service, by, ...rest } = opts
    this.#add('moves', this.#moves, id, { ...rest, service: service.name, by: toIsoText(id, by) })
    return this
  }

  /** Checks the configuration and returns it as declared; throws ConfigInvalid with the issues found. */
  toInput (): ConfigInput {
    const input = { services: this.#services, routes: this.#routes, moves: this.#moves }
    checkConfig(input)
    return structuredClone(input)
  }

  /** Returns the checked configuration with defaults filled in and durations in milliseconds. */
  toConfig (): Config {
    return configSchema.parse(this.toInput())
  }

  /** Returns the checked configuration as YAML in a stable order, so that two outputs differ only where the configurations do. */
  toYaml (): string {
    return stringify(sortSections(this.toInput()), { lineWidth: 0, aliasDuplicateObjects: false })
  }

  /** Returns the checked configuration as JSON in the same order as `toYaml`. */
  toJson (): string {
    return JSON.stringify(sortSections(this.toInput()), null, 2) + '\n'
  }

  /** Adds an entry; rejects a name declared before, which would silently replace the first declaration. */
  #add<T> (section: Section, entries: Record<string, T>, name: string, value: T): void {
    if (Object.hasOwn(entries, name)) {
      throw new ConfigInvalid('builder', [{
        code: 'duplicate-name', path: `${section}.${name}`, message: 'is declared twice'
      }])
    }
    entries[name] = value
  }
}

/** Checks for an invalid Date, as the error thrown by toISOString names neither the move nor the field. */
function toIsoText (id: string, by: string | Date): string {
  if (typeof by === 'string') return by
  if (!Number.isNaN(by.getTime())) return by.toISOString()
  throw new ConfigInvalid('builder', [{ code: 'bad-value', path: `moves.${id}.by`, message: 'is not a valid Date' }])
}

/** Copy with sections and fields in the order of the schema, names sorted, and empty sections and unset fields left out. */
function sortSections (input: ConfigInput): Record<string, unknown> {
  const sections = Object.keys(configSchema.shape) as Section[]
  return Object.fromEntries(sections.flatMap((section) => {
    const entries = Object.entries(input[section] ?? {}).sort(([a], [b]) => (a < b ? -1 : 1))
    if (entries.length === 0) return []
    return [[section, Object.fromEntries(entries.map(([name, value]) => [name, sortFields(section, value)]))]]
  }))
}

function sortFields (section: Section, value: Readonly<Record<string, unknown>>): Record<string, unknown> {
  return Object.fromEntries(FIELD_ORDER[section]
    .filter((field) => value[field] !== undefined)
    .map((field) => [field, field === 'headers' ? sortKeys(value[field] as Record<string, string>) : value[field]]))
}

function sortKeys (record: Readonly<Record<string, string>>): Record<string, string> {
  return Object.fromEntries(Object.entries(record).sort(([a], [b]) => (a < b ? -1 : 1)))
}
