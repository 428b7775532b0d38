import { SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { TEST_HEADERS as names, testQuarantine, unlimitedQueue } from '../../__tests__/fixtures.js'
import type { TargetRecord } from '../../fleet/hostRecord.js'
import type { CallMessage, HopReply } from '../../link/messages.js'
import { ResponseSizes } from '../../outbound/responseSizes.js'
import type { ConnectOutcome } from '../crashDetector.js'
import { InboundHandler } from '../inboundHandler.js'
import { LinkForecast } from '../linkForecast.js'
import type { TargetResult, TargetStatement } from '../targetResult.js'

/** An inbound handler with a target whose responses the test sends, and a record of what was sent and replied. */
export class TestSetup {
  readonly timers = new VirtualTimers()
  readonly sent: { id: string, done (result: TargetResult): void, isAborted: boolean }[] = []
  readonly replies = new Map<string, HopReply>()
  /** Log lines of single requests. */
  readonly lines: object[] = []
  readonly decisions: object[] = []
  readonly quarantine = testQuarantine(this.timers)
  target: TargetRecord | undefined = { id: 'i-1', startedAt: 1_000, service: 's', version: 'v1', slots: 2, state: 'ready', coldMs: 0 }
  isAnnouncementOverdue = false
  coldPerS: number | undefined
  isEvacuated = false
  isPresumedCold = false
  isVersionAllowed = true
  rejectionRate = 0
  /** Whether the part that judges versions fails. */
  failOnResult = false
  connectOutcome: ConnectOutcome = 'accepted'
  readonly handler = new InboundHandler({
    timers: this.timers,
    random: new SeededRandom(1),
    log: { call: (_isPlain, what, fields) => { this.lines.push({ what, ...fields }) }, decision: (what, fields) => { this.decisions.push({ what, ...fields }) } },
    names,
    link: new LinkForecast(unlimitedQueue(), new ResponseSizes()),
    quarantine: this.quarantine,
    client: {
      send: (request, _idempotent, done) => {
        const entry = { id: request.requestId, done, isAborted: false }
        this.sent.push(entry)
        return () => {
          entry.isAborted = true
          done({ kind: 'failed', reason: 'cancelled' })
        }
      },
      tryConnect: (done) => done(this.connectOutcome),
      reset: () => {}
    },
    target: () => this.target,
    isAnnouncementOverdue: () => this.isAnnouncementOverdue,
    incarnation: () => 7,
    isVersionAllowed: () => this.isVersionAllowed,
    rejectionRate: () => this.rejectionRate,
    coldPerS: () => this.coldPerS,
    isEvacuated: () => this.isEvacuated,
    isPresumedCold: () => this.isPresumedCold,
    onTargetLeaving: () => {
      this.target = { ...this.target!, state: 'draining' }
      this.handler.onTargetChange()
    },
    onRefusal: () => {},
    onTargetCrash: () => {},
    onResult: () => { if (this.failOnResult) throw new Error('result not handled') }
  })

  constructor () {
    this.handler.onTargetChange()
  }

  offer (key: string, overrides: Partial<CallMessage> = {}): void {
    const message: CallMessage = {
      key, requestId: key, incarnation: 7, mode: 'queue', service: 's', targetId: 'i-1', route: 'r', method: 'GET', url: '/', headers: [], body: new Uint8Array(), deadlineMs: 1_200, targetLatencyMs: 600, priority: 1, idempotent: true, nested: false, repeat: false, suspect: false, ...overrides
    }
    this.handler.offer(message, (reply) => this.replies.set(key, reply))
  }

  /** Responds as the target, which states no limit and reports no load unless the test says otherwise. */
  respond (id: string, { limitPerS = Infinity, isLeaving = false }: Partial<TargetStatement> = {}, slowdown?: number): void {
    const extra = slowdown === undefined ? {} : { reported: { running: 1, waiting: 0, slots: 2, slowdown } }
    this.sent.find((entry) => entry.id === id)!.done({ kind: 'response', status: 200, headers: [], body: Buffer.alloc(0), unframed: false, statement: { limitPerS, isLeaving }, ...extra })
  }

  outcomeOf (key: string): string {
    const reply = this.replies.get(key)
    if (!reply) return 'open'
    return reply.kind === 'response' ? String(reply.status) : `${reply.kind} ${reply.reason}`
  }
}
