import { keyHash, SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { TEST_HEADERS as names, TEST_ROUTE, testHost } from '../../__tests__/fixtures.js'
import type { RequestOrigin } from '../../inbound/runningRequests.js'
import type { CallMessage, HopReply } from '../../link/messages.js'
import type { QuotaDecision } from '../../quota/quotaGate.js'
import type { MeshRoute, MeshWorkspace } from '../../routing/meshConfig.js'
import { RouteTable } from '../../routing/routeTable.js'
import { FixedDelayPolicy, type HedgePolicy } from '../hedging.js'
import { OutboundHandler } from '../outboundHandler.js'
import type { OutboundOptions, Responder } from '../outboundTypes.js'

export interface RequestSpec {
  path?: string
  /** Value of the key header; absent for none. */
  authorization?: string
  origin?: RequestOrigin
  deadlineMs?: number
}

/** A request of a caller: what it got, and how it leaves. */
export interface SentRequest {
  responses: string[]
  leave (): void
}

export function workspaceWithKey (name: string, key: string, overrides: Partial<MeshWorkspace> = {}): MeshWorkspace {
  return { name, keyHashes: [keyHash(key)], ratePerS: 0, burst: 0, ...overrides }
}

/** An outbound handler whose offers, quota decisions and log lines the test sees; `/closed/` and `/open/` are its routes. */
export class OutboundSetup {
  readonly timers = new VirtualTimers()
  readonly offers: { message: CallMessage, reply (reply: HopReply): void }[] = []
  readonly lines: object[] = []
  readonly rejections: string[] = []
  readonly urgencies: number[] = []
  /** What was counted of hedges. */
  readonly hedges: string[] = []
  /** What became of the requests of workspaces. */
  readonly ends: string[] = []
  /** Workspaces that the quota gate was asked about, and what it was given back. */
  readonly asked: { name: string, decide (decision: QuotaDecision): void }[] = []
  readonly givenBack: string[] = []
  /** Decision of the quota gate at once; undefined if the test decides later. */
  decision: QuotaDecision | undefined = { kind: 'granted' }
  hasTargets = true
  readonly handler: OutboundHandler
  #requestCount = 0

  constructor (readonly hedgePolicy: HedgePolicy = new FixedDelayPolicy({ tryWithdraw: () => true })) {
    const { timers } = this
    const opts = {
      timers,
      names,
      random: new SeededRandom(1),
      log: { call: (_isPlain: boolean, what: string, fields: object) => { this.lines.push({ what, ...fields }) }, decision: () => {} },
      metrics: { request: () => {}, rejection: (reason: string) => { this.rejections.push(reason) }, hedge: (outcome: string) => { this.hedges.push(outcome) } },
      inbound: { recordNestedCall: () => {} },
      fleet: {
        own: { host: 'own', incarnation: 1 },
        live: () => [],
        record: () => testHost('h1'),
        link: () => ({
          call: (message: CallMessage, _isBulky: boolean, reply: (reply: HopReply) => void) => {
            this.offers.push({ message, reply })
            return () => {}
          }
        })
      },
      loadBalancer: {
        rank: (_service: string, { urgency }: { urgency: number }) => {
          this.urgencies.push(urgency)
          return this.hasTargets ? [{ host: 'h1', targetId: 'i-1' }, { host: 'h2', targetId: 'i-2' }] : []
        },
        recordOffer: () => {},
        recordReply: () => {},
        heardLimitPerS: () => undefined,
        limitedMs: () => 0,
        avoid: () => {},
        markBusy: () => {}
      },
      budget: { deposit: () => {}, recordNestedRetry: () => {}, tryWithdraw: () => true },
      hedging: { policy: this.hedgePolicy },
      sizes: { expectedBytes: () => 0, record: () => {}, retain: () => {} },
      traffic: { record: () => {}, recordWorkspace: (name: string, outcome: string) => { this.ends.push(`${name} ${outcome}`) } },
      versions: { choose: () => undefined },
      quarantine: { isEmpty: true },
      quota: {
        admit: ({ name }: MeshWorkspace, done: (decision: QuotaDecision) => void) => {
          this.asked.push({ name, decide: done })
          if (this.decision) done(this.decision)
        },
        giveBack: ({ name }: MeshWorkspace) => { this.givenBack.push(name) }
      },
      callerService: () => 'caller-service'
    } as unknown as OutboundOptions
    this.handler = new OutboundHandler(opts)
  }

  /** Puts a configuration in force with the workspaces given. */
  setWorkspaces (workspaces: readonly MeshWorkspace[], version = 1): void {
    const routes: MeshRoute[] = [
      { ...TEST_ROUTE, name: 'closed', pathPrefix: '/closed/' },
      { ...TEST_ROUTE, name: 'open', pathPrefix: '/open/', allowsAnonymous: true }
    ]
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
    this.handler.setTable(new RouteTable({ version, routes, services: new Map(), limits, workspaces: new Map(workspaces.map((entry) => [entry.name, entry])) }))
  }

  send ({ path = '/closed/1', authorization, origin = 'caller', deadlineMs = 1_000 }: RequestSpec = {}): SentRequest {
    const responses: string[] = []
    const res: Responder = {
      respond: ({ status }) => { responses.push(String(status)) },
      reject: (status, reason, retryAfterMs) => { responses.push([status, reason, ...retryAfterMs === undefined ? [] : [Math.round(retryAfterMs)]].join(' ')) }
    }
    const headers = ['Host', 'h', ...authorization === undefined ? [] : ['Authorization', authorization]]
    const head = { requestId: `r${++this.#requestCount}`, host: 'h', path, headers, deadlineMs }
    const leave = this.handler.handle({ method: 'GET', url: path, head, body: new Uint8Array(), origin }, res)
    return { responses, leave }
  }

  /** Values of a header of an offer. */
  offered (index: number, header: string): string[] {
    const { headers } = this.offers[index]!.message
    return headers.filter((_, i) => i % 2 === 1 && headers[i - 1]!.toLowerCase() === header)
  }
}

export const RESPONSE: HopReply = { kind: 'response', status: 200, headers: [], body: new Uint8Array(), unframed: false }
