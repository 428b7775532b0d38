import test from 'ava'
import type { HedgeDecision, HedgePolicy } from '../hedging.js'
import { OutboundSetup, RESPONSE, workspaceWithKey } from './outboundSetup.js'

const DELAY_MS = 100

function policyThat (decision: HedgeDecision, seenMs: number[] = []): HedgePolicy {
  return { recordRequest: () => {}, recordLatency: (_route, ms) => { seenMs.push(ms) }, delayMs: () => DELAY_MS, tryWithdraw: () => decision, retain: () => {} }
}

/** Sends a request that is slow; returns the setup once the hedge is due. */
function slowRequest (decision: HedgeDecision = { kind: 'granted', placement: 'freeSlot' }): { setup: OutboundSetup, responses: string[], seenMs: number[] } {
  const seenMs: number[] = []
  const setup = new OutboundSetup(policyThat(decision, seenMs))
  setup.setWorkspaces([workspaceWithKey('w', 'key', { ratePerS: 1, burst: 1 })])
  const { responses } = setup.send({ authorization: 'Bearer key' })
  setup.timers.advance(DELAY_MS)
  return { setup, responses, seenMs }
}

function hedgedField (setup: OutboundSetup): unknown {
  const line = setup.lines.find((entry) => (entry as { what: string }).what === 'outbound') as { hedged?: string }
  return line.hedged
}

test('guards the count and the log line of a hedge that wins', (t) => {
  const { setup, responses, seenMs } = slowRequest()
  setup.timers.advance(20)
  setup.offers[1]!.reply(RESPONSE)
  t.deepEqual({ responses, hedges: setup.hedges, hedged: hedgedField(setup) }, { responses: ['200'], hedges: ['begun', 'won'], hedged: 'won' })
  t.deepEqual(seenMs, [120], 'the first run took at least until then')
})

test('guards the count and the log line of a hedge that loses', (t) => {
  const { setup, responses } = slowRequest()
  setup.offers[0]!.reply(RESPONSE)
  t.deepEqual({ responses, hedges: setup.hedges, hedged: hedgedField(setup) }, { responses: ['200'], hedges: ['begun', 'lost'], hedged: 'lost' })
})

test('guards against a hedge without room ending the first run', (t) => {
  const { setup, responses } = slowRequest()
  setup.offers[1]!.reply({ kind: 'notRun', reason: 'busy' })
  t.is(setup.offers.length, 2, 'it is not offered again')
  setup.offers[0]!.reply(RESPONSE)
  t.deepEqual({ responses, hedges: setup.hedges }, { responses: ['200'], hedges: ['begun', 'lost'] })
})

test('guards against a hedge counting against the quota of a workspace', (t) => {
  const { setup } = slowRequest()
  setup.offers[1]!.reply(RESPONSE)
  t.is(setup.asked.length, 1)
  t.deepEqual(setup.givenBack, [])
})

test('guards the count of hedges held back, and against their requests being answered any other way', (t) => {
  for (const reason of ['overShare', 'overBudget', 'shortage'] as const) {
    const { setup, responses, seenMs } = slowRequest({ kind: 'refused', reason })
    t.is(setup.offers.length, 1)
    setup.offers[0]!.reply(RESPONSE)
    t.deepEqual({ responses, hedges: setup.hedges, hedged: hedgedField(setup), seenMs }, { responses: ['200'], hedges: [reason], hedged: undefined, seenMs: [DELAY_MS] })
  }
})
