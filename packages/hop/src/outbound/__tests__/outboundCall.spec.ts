import test from 'ava'
import { VirtualTimers } from '@lentilwheel/core'
import { TEST_HEADERS as names, TEST_ROUTE as route, testHost } from '../../__tests__/fixtures.js'
import { NotForwardable } from '../../errors.js'
import type { HopReply } from '../../link/messages.js'
import { FixedDelayPolicy } from '../hedging.js'
import { OutboundCall } from '../outboundCall.js'
import type { OutboundOptions } from '../outboundTypes.js'

interface Setup {
  /** Statuses that the caller got. */
  answers: number[]
  /** Lines of the log, by their outcome. */
  outcomes: unknown[]
  /** Number of offers that were cancelled. */
  cancelled: number
  ended: number
  reply?: (reply: HopReply) => void
}

/** Starts a call with one target; `respond` takes its response, and `rank` may fail. */
function startCall (respond: () => void, rank: () => unknown[] = () => [{ host: 'h1', targetId: 'i-1' }]): Setup {
  const setup: Setup = { answers: [], outcomes: [], cancelled: 0, ended: 0 }
  const timers = new VirtualTimers()
  const peer = testHost('h1', 'dc')
  const opts = {
    timers,
    names,
    random: { next: () => 0.5 },
    log: { call: (_isPlain: boolean, _event: string, { outcome }: { outcome?: unknown }) => { setup.outcomes.push(outcome) }, decision: () => {} },
    metrics: { request: () => {} },
    fleet: {
      own: { host: 'own' },
      record: () => peer,
      link: () => ({
        call: (_message: unknown, _isBulky: boolean, reply: (reply: HopReply) => void) => {
          setup.reply = reply
          return () => { setup.cancelled++ }
        }
      })
    },
    loadBalancer: { rank, recordOffer: () => {}, recordReply: () => {}, heardLimitPerS: () => undefined, avoid: () => {} },
    budget: { deposit: () => {} },
    hedging: { policy: new FixedDelayPolicy({ tryWithdraw: () => true }) },
    sizes: { expectedBytes: () => 0, record: () => {} },
    traffic: { record: () => {} },
    versions: { choose: () => undefined },
    quarantine: { isEmpty: true },
    callerService: () => 's'
  } as unknown as OutboundOptions
  const head = { requestId: 'r1', host: 'h', path: '/', headers: [], deadlineMs: 1_000 }
  const call = new OutboundCall(opts, {
    req: { method: 'GET', url: '/', head, body: new Uint8Array(), origin: 'caller' },
    res: {
      respond: () => {
        respond()
        setup.answers.push(200)
      },
      reject: (status) => { setup.answers.push(status) }
    },
    route,
    workspace: undefined,
    service: 's',
    arrivedAt: timers.now(),
    configVersion: 1,
    isCallerRetry: false,
    nextKey: () => 'key',
    onNotRun: () => {},
    onEnd: () => { setup.ended++ }
  })
  call.start()
  return setup
}

const response: HopReply = { kind: 'response', status: 200, headers: [], body: new Uint8Array(), unframed: false }

test('guards against a caller without an end, or with two, because a response cannot be passed on', (t) => {
  const setup = startCall(() => { throw new NotForwardable('odd header') })
  setup.reply!(response)
  setup.reply!(response)
  t.deepEqual(setup, { answers: [502], outcomes: [502], cancelled: 0, ended: 1, reply: setup.reply })
})

test('guards against a caller without an end because choosing a target fails', (t) => {
  const { answers, outcomes, ended } = startCall(() => {}, () => { throw new Error('no ranking') })
  t.deepEqual({ answers, outcomes, ended }, { answers: [502], outcomes: [502], ended: 1 })
})
