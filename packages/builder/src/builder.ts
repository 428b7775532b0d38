import { stringify } from 'yaml'
import { canonicalJson, checkConfig, type ConfigInput } from '@lentilwheel/config'

type ServiceInput = NonNullable<ConfigInput['services']>[string]
type RouteInput = NonNullable<ConfigInput['routes']>[string]
type MoveInput = NonNullable<ConfigInput['moves']>[string]

/** A declared service; routes and moves refer to it, so that a misspelt name does not compile. */
export interface ServiceRef<V extends string = string> {
  readonly name: string
  readonly versions: readonly V[]
}

/** Collects services, routes and moves and prints them as the configuration that `lentilwheel apply` takes. */
export class ConfigBuilder {
  readonly #services: Record<string, ServiceInput> = {}
  readonly #routes: Record<string, RouteInput> = {}
  readonly #moves: Record<string, MoveInput> = {}

  service<const V extends string> (
    name: string, opts: Omit<ServiceInput, 'versions' | 'current'> & { versions: readonly V[], current: NoInfer<V> }
  ): ServiceRef<V> {
    this.#services[name] = { ...opts, versions: [...opts.versions] }
    return { name, versions: opts.versions }
  }

  route (name: string, opts: Omit<RouteInput, 'service'> & { service: ServiceRef }): this {
    this.#routes[name] = { ...opts, service: opts.service.name }
    return this
  }

  move<V extends string> (
    id: string, opts: Omit<MoveInput, 'service' | 'from' | 'to'> & { service: ServiceRef<V>, from: NoInfer<V>, to: NoInfer<V> }
  ): this {
    this.#moves[id] = { ...opts, service: opts.service.name }
    return this
  }

  /** The configuration, checked; throws ConfigInvalid with every issue. */
  toInput (): ConfigInput {
    const input = { services: this.#services, routes: this.#routes, moves: this.#moves }
    checkConfig(input)
    return input
  }

  /** YAML with keys in a stable order, so that two outputs differ only where the configuration does. */
  toYaml (): string {
    return stringify(JSON.parse(canonicalJson(this.toInput())), { lineWidth: 0 })
  }

  toJson (): string {
    return JSON.stringify(JSON.parse(canonicalJson(this.toInput())), null, 2) + '\n'
  }
}
