import { readFileSync } from 'node:fs'
import { VirtualTimers, type Cancel } from '@lentilwheel/core'
import {
  PlatformBadAnswer, PlatformConflict, PlatformOutcomeUnknown, PlatformUnreachable, type StoredObject
} from '@lentilwheel/platform'
import { FakePlatformStore } from '@lentilwheel/testkit'
import { decodeResponse, type DaemonAdminClient, type RouteQuery } from '../account/nodeDaemonAdminClient.js'
import { daemonStatusSchema, eventsSchema, fleetStatusSchema, routeExplanationSchema, takeBackResponseSchema } from '../account/schema.js'
import type { ClosablePlatformClient, CommandContext } from '../context.js'
import { FileFailed } from '../errors.js'
import { parseLayout } from '../output/layout.js'
import { Screen, type Streams } from '../output/screen.js'
import { runProgram } from '../program.js'

export const NOW = Date.parse('2026-12-04T10:00:00Z')
const DEFAULT_LAYOUT = readFileSync(new URL('../../layouts/default.yaml', import.meta.url), 'utf8')

/** In-memory platform with the faults that operators see: outages, pages of gateways and lost responses. */
export class FakePlatform implements ClosablePlatformClient {
  readonly store = new FakePlatformStore()
  mode: 'up' | 'down' | 'html' = 'up'
  /** The next writes of the head, one entry each: the response is lost, whether or not the write takes effect. */
  lostResponses: { takesEffect: boolean }[] = []
  /** Called before each write of the head. */
  beforeHeadWrite: () => void = () => {}
  /** Counts the change ids, which are unique among all harnesses of a platform. */
  lastChangeId = 0
  beforeList: () => Promise<void> = async () => {}

  async get (key: string): Promise<StoredObject | undefined> {
    this.#check()
    const found = this.store.get(key)
    return found && { key, ...found }
  }

  async put (key: string, value: Uint8Array, opts: { ifRevision: number }): Promise<number> {
    this.#check()
    if (key === 'config/head') this.beforeHeadWrite()
    const lost = key === 'config/head' ? this.lostResponses.shift() : undefined
    const revision = lost?.takesEffect === false ? undefined : this.store.put(key, value, opts.ifRevision)
    if (lost) throw new PlatformOutcomeUnknown('answer to put was lost')
    if (revision === undefined) throw new PlatformConflict(`object ${key} is not at revision ${opts.ifRevision}`)
    return revision
  }

  async remove (): Promise<void> {}

  async list (prefix: string): Promise<StoredObject[]> {
    this.#check()
    await this.beforeList()
    return this.store.list(prefix).map(([key, object]) => ({ key, ...object }))
  }

  async watch (): Promise<undefined> {}
  async close (): Promise<void> {}

  set (key: string, value: unknown): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value)
    this.store.put(key, new TextEncoder().encode(text), this.store.get(key)?.revision ?? 0)
  }

  #check (): void {
    if (this.mode === 'down') throw new PlatformUnreachable('platform did not answer get')
    if (this.mode === 'html') throw new PlatformBadAnswer('answer has no ETag; the platform url does not name an object API')
  }
}

/** Admin API with a response given as text, so that tests cover its decoding too. */
export class FakeDaemon implements DaemonAdminClient {
  readonly address = '127.0.0.1:8081'
  response: { status: number, text: string } = { status: 200, text: '{}' }
  takeBackRequests: string[] = []
  routeQueries: RouteQuery[] = []

  respondJson (value: unknown): this {
    this.response = { status: 200, text: JSON.stringify(value) }
    return this
  }

  async fleet () {
    const { accounts, moves } = decodeResponse('daemon', this.response, fleetStatusSchema)
    return { source: `daemon ${this.address}`, accounts, moveRecords: moves, notices: [] }
  }

  async status () { return decodeResponse('daemon', this.response, daemonStatusSchema) }
  async events () { return decodeResponse('daemon', this.response, eventsSchema) }

  async explainRoute (query: RouteQuery) {
    this.routeQueries.push(query)
    return decodeResponse('daemon', this.response, routeExplanationSchema)
  }

  async takeBack (move: string) {
    this.takeBackRequests.push(move)
    return decodeResponse('daemon', this.response, takeBackResponseSchema)
  }
}

export interface RunResult { code: number, out: string, err: string }

/** Runs commands in the process with fakes for files, platform, daemon, terminal and clock. */
export class CliHarness {
  readonly platform: FakePlatform
  readonly daemon = new FakeDaemon()
  readonly timers = new VirtualTimers(NOW)
  readonly files = new Map<string, string>()
  readonly env: Record<string, string> = { LENTILWHEEL_PLATFORM: 'http://platform' }
  settings: CommandContext['settings'] = {}
  streams: Partial<Streams> = {}
  user = 'ayana'
  interrupt: (() => void) | undefined
  constructor (platform = new FakePlatform()) {
    this.platform = platform
  }

  /** Runs a command to its end, advancing the virtual clock meanwhile. */
  async run (...args: string[]): Promise<RunResult> {
    const result = { code: NaN, out: '', err: '' }
    const streams: Streams = {
      out: (text) => { result.out += text },
      err: (text) => { result.err += text },
      columns: Infinity,
      errIsTerminal: false,
      colours: false,
      ...this.streams
    }
    const makeContext = (screen: Screen): CommandContext => this.#context(screen)
    const opts = { version: '0.0.0', screen: new Screen(streams), makeContext }
    const running = runProgram(['node', 'lentilwheel', ...args], opts).then((code) => { result.code = code })
    while (Number.isNaN(result.code)) {
      await this.timers.advanceAsync(100)
      await new Promise(setImmediate)
    }
    await running
    return result
  }

  #context (screen: Screen): CommandContext {
    return {
      screen,
      timers: this.timers,
      env: this.env,
      settings: this.settings,
      defaultLayout: parseLayout(DEFAULT_LAYOUT, 'default layout'),
      readFile: (path) => {
        const text = this.files.get(path)
        if (text === undefined) throw new FileFailed(`cannot read ${path}: there is no such file or directory`)
        return new TextEncoder().encode(text)
      },
      writeFile: (path, text) => { this.files.set(path, text) },
      newId: () => `change-${++this.platform.lastChangeId}`,
      userName: () => this.user,
      openPlatformClient: () => this.platform,
      openDaemonClient: () => this.daemon,
      onInterrupt: (fn): Cancel => {
        this.interrupt = fn
        return () => { this.interrupt = undefined }
      },
      exit: (code) => { throw new Error(`exit ${code}`) }
    }
  }
}

export const MESH_FILE = `
services:
  orders: { versions: [v1, v2], current: v1 }
routes:
  placeOrder: { service: orders, path: /orders, methods: [POST] }
moves:
  ordersV2: { service: orders, from: v1, to: v2, by: 2026-12-04T18:00:00Z }
`

/** Status summary of a data centre that reports as many daemons for each version as `inForce` says. */
export function makeAccount (dataCentre: string, inForce: Record<string, number>, more: object = {}) {
  const members = Object.values(inForce).reduce((sum, n) => sum + n, 0)
  return { dataCentre, at: NOW, members, inForce, lagging: [], refusals: [], ...more }
}

export const LAGGING = { daemon: 'otaru-4', version: 0, reason: 'no peer has answered since it started' }
export const REFUSAL = {
  version: 1, changeId: 'change-1', reason: 'object route/placeOrder has another hash than its version names', at: NOW, daemons: ['otaru-2']
}
export const MOVE_RECORD = {
  id: 'ordersV2', service: 'orders', from: 'v1', to: 'v2', by: '2026-12-04T18:00:00Z', stage: 2, share: 0.05, at: NOW, reason: 'no difference in 412 calls'
}
