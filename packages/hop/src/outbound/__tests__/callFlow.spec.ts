import test from 'ava'
import type { HopReply } from '../../link/messages.js'
import type { Standing } from '../../quarantine/quarantine.js'
import type { MeshRoute } from '../../routing/meshConfig.js'
import { callFlow, type CallCommand, type CallEvent } from '../callFlow.js'
import type { Candidate } from '../costEstimate.js'
import type { HedgePlacement } from '../hedging.js'

const route: MeshRoute = {
  name: 'r', host: 'h', pathPrefix: '/', parts: [{ service: 's', weight: 1 }], idempotent: true, bulky: false, timeoutMs: 1_200, targetLatencyMs: 600, priority: 1, maxAttempts: 2, allowsAnonymous: false
}
const nonIdempotent: MeshRoute = { ...route, idempotent: false }
const ok: HopReply = { kind: 'response', status: 200, headers: [], body: new Uint8Array(), unframed: false }
const failure: HopReply = { kind: 'response', status: 500, headers: [], body: new Uint8Array(), unframed: false }
const busyReply: HopReply = { kind: 'notRun', reason: 'busy' }

/** An event that the flow receives at a time, in milliseconds. */
interface Step { at: number, event: CallEvent }
/** The hosts with targets and their properties, the retries that the budget allows, and the events of one request. */
interface Scenario { route?: MeshRoute, targets?: string[], busy?: string[], full?: string[], remote?: string[], bodyBytes?: number, retries?: number, standing?: Standing, heldMs?: number, heldFrom?: number, crashes?: number, hedgeDelayMs?: number, hedgePlacement?: HedgePlacement | 'none', steps: Step[] }

/** Feeds events to the flow of one request and returns its commands, one line per event. */
function runScenario ({ route: scenarioRoute = route, targets = ['a', 'b', 'c'], busy = [], full = [], remote = [], bodyBytes = 0, retries = 9, standing = 'clear', heldMs = 0, heldFrom = 0, crashes = 0, hedgeDelayMs = 540, hedgePlacement = 'any', steps }: Scenario): string[] {
  let now = 0
  const candidates: Candidate[] = targets.map((host) => ({ host, targetId: `t-${host}`, version: 'v1', isLocal: !remote.includes(host), costMs: 1, runMs: 1, isBusy: busy.includes(host), isQueueFull: full.includes(host) }))
  const flow = callFlow({ route: scenarioRoute, deadlineAt: 1_200, bodyBytes }, {
    now: () => now,
    candidates: (exclude) => candidates.filter(({ host }) => !exclude.has(host)),
    standing: () => now >= heldFrom ? standing : 'clear',
    refusedMs: () => heldMs,
    crashes: () => crashes,
    tryWithdrawRetry: () => retries-- > 0,
    hedgeDelayMs: () => hedgeDelayMs,
    tryWithdrawHedge: (hasFreeTarget) => {
      if (hedgePlacement === 'freeSlot') return hasFreeTarget ? hedgePlacement : undefined
      return hedgePlacement === 'any' && retries-- > 0 ? hedgePlacement : undefined
    },
    retryAfterMs: () => 250
  })
  const lines = [format(flow.next().value ?? [])]
  for (const { at, event } of steps) {
    now = at
    const result = flow.next(event)
    lines.push(`${at}: ${format(result.value ?? [])}${result.done ? '(over)' : ''}`)
  }
  return lines
}

function format (commands: readonly CallCommand[]): string {
  return commands.map(formatCommand).join('; ')
}

function formatCommand (command: CallCommand): string {
  switch (command.kind) {
    case 'offer': return `offer ${command.attempt} ${command.candidate.host} ${command.mode}${command.isRetry ? ' retry' : ''}`
    case 'cancel': return `cancel ${command.attempt}`
    case 'timer': return `timer ${command.ms}`
    case 'respond': return `respond ${command.reply.status}`
    case 'reject': return `reject ${command.reason}`
    case 'fail': return `fail ${command.status} ${command.reason}`
  }
}

const reply = (at: number, attempt: number, hopReply: HopReply): Step => ({ at, event: { kind: 'reply', attempt, reply: hopReply } })
const timer = (at: number): Step => ({ at, event: { kind: 'timer' } })

const scenarios: Record<string, Scenario> = {
  'a response is passed on': { steps: [reply(200, 1, ok)] },
  'busy targets are skipped, then the request queues at the best': { steps: [reply(1, 1, busyReply), reply(2, 2, busyReply), reply(300, 3, ok)] },
  'a request is rejected as not run at once if the queue is full': { route: nonIdempotent, steps: [reply(1, 1, busyReply), reply(2, 2, busyReply), reply(3, 3, busyReply)] },
  'a request that would displace more urgent ones is rejected at once': { steps: [reply(1, 1, { kind: 'notRun', reason: 'displacing' })] },
  'an idempotent request is retried after a failure': { steps: [reply(100, 1, failure), reply(200, 2, ok)] },
  'retries end at the maximum number of attempts': { steps: [reply(100, 1, failure), reply(200, 2, failure)] },
  'the failure is passed on when the retry budget is used up': { retries: 0, steps: [reply(100, 1, failure)] },
  'a non-idempotent request is not retried after it may have run': { route: nonIdempotent, steps: [reply(100, 1, { kind: 'failed', reason: 'reset' })] },
  'a failure response to a non-idempotent request is passed on': { route: nonIdempotent, steps: [reply(100, 1, failure)] },
  'a non-idempotent request is offered elsewhere when it surely did not run': { route: nonIdempotent, steps: [reply(10, 1, { kind: 'notRun', reason: 'draining' }), reply(200, 2, ok)] },
  'a shed request is offered elsewhere as a retry': { route: nonIdempotent, steps: [reply(10, 1, { kind: 'notRun', reason: 'shed' }), reply(200, 2, ok)] },
  'an offer after a shed request counts as a retry also after a busy target': { steps: [reply(10, 1, { kind: 'notRun', reason: 'shed' }), reply(12, 2, busyReply), reply(200, 3, ok)] },
  'a shed request is rejected as not run when the retry budget is used up': { route: nonIdempotent, retries: 0, steps: [reply(10, 1, { kind: 'notRun', reason: 'shed' })] },
  'an attempt without a reply is hedged and the first response wins': { steps: [timer(540), reply(700, 2, ok)] },
  'an attempt whose answer waits for the link is not hedged': { steps: [{ at: 300, event: { kind: 'answered', attempt: 1 } }, timer(540), reply(900, 1, ok)] },
  'a non-idempotent request is not hedged': { route: nonIdempotent, steps: [timer(540), timer(1_300)] },
  'a request that may have run fails at the deadline and is not reported as not run': { route: nonIdempotent, steps: [timer(1_300)] },
  'a response without a length is retried elsewhere': { steps: [reply(100, 1, { ...ok, unframed: true }), reply(200, 2, ok)] },
  'a response without a length is passed on when the request must not be retried': { route: nonIdempotent, steps: [reply(100, 1, { ...ok, unframed: true })] },
  'attempts are cancelled when the caller leaves': { steps: [{ at: 50, event: { kind: 'callerLeft' } }] },
  'targets known to be busy are not offered the request for immediate start': { busy: ['a', 'b'], steps: [reply(2, 1, busyReply), reply(300, 2, ok)] },
  'a request is rejected without an offer when all targets are known to be busy and their queues full': { route: nonIdempotent, busy: ['a', 'b', 'c'], full: ['a', 'b', 'c'], steps: [] },
  'a request waits for a target, then is rejected': { targets: [], steps: [timer(60), timer(500)] },
  'a request that a target crashed under is retried once': { steps: [reply(100, 1, { kind: 'failed', reason: 'crashed' }), reply(200, 2, { kind: 'failed', reason: 'crashed' })] },
  'a request is not retried after a second crash counts against it': { crashes: 2, standing: 'suspect', steps: [reply(100, 1, { kind: 'failed', reason: 'crashed' })] },
  'a suspect is not hedged': { standing: 'suspect', steps: [timer(540), reply(700, 1, ok)] },
  'a request that is held for a short time waits': { standing: 'held', heldMs: 120, steps: [timer(60)] },
  'a request that is held for long is refused at once': { standing: 'held', heldMs: 4_000, steps: [] },
  'a retry after a crash waits while the request is held': { standing: 'held', heldFrom: 100, heldMs: 120, crashes: 1, steps: [reply(100, 1, { kind: 'failed', reason: 'crashed' }), timer(220)] },
  'a blocked request is refused at once': { standing: 'blocked', steps: [] },
  'a request that is blocked elsewhere is refused as not run': { steps: [reply(2, 1, { kind: 'notRun', reason: 'quarantined' })] },
  'a suspect that runs already waits, and is refused as not run if that takes long': { standing: 'suspect', targets: ['a'], steps: [reply(2, 1, { kind: 'notRun', reason: 'suspect' }), timer(62), reply(64, 2, { kind: 'notRun', reason: 'suspect' }), timer(401), reply(403, 3, { kind: 'notRun', reason: 'suspect' })] },
  'the retry of a suspect waits for its target no shorter than a first run does': { standing: 'suspect', crashes: 1, steps: [reply(390, 1, { kind: 'failed', reason: 'crashed' }), reply(402, 2, { kind: 'notRun', reason: 'suspect' }), timer(462), reply(464, 3, ok)] },
  'the retry of a request waits for a target no shorter than a first run does': { targets: ['a', 'b'], steps: [reply(390, 1, { kind: 'failed', reason: 'reset' }), reply(402, 2, { kind: 'notRun', reason: 'unreachable' }), timer(462), reply(464, 3, ok)] },
  'a failure is not retried if a call that the request makes is refused for good': { steps: [reply(100, 1, { ...failure, isFinal: true })] },
  'an idempotent request is retried when the link to the daemon breaks': { steps: [reply(700, 1, { kind: 'failed', reason: 'lost' }), reply(900, 2, ok)] },
  'a large body is sent to another data centre only after a probe found a free slot': { remote: ['b', 'c'], bodyBytes: 60_000, route: nonIdempotent, steps: [reply(1, 1, busyReply), reply(4, 2, { kind: 'notRun', reason: 'vacant' }), reply(300, 3, ok)] },
  'a probe without a reply does not count as an attempt that may have run': { targets: ['a', 'b'], remote: ['a', 'b'], bodyBytes: 60_000, route: nonIdempotent, steps: [reply(100, 1, { kind: 'failed', reason: 'lost' }), timer(1_300)] },
  'a request that may run fails when the daemon stops and is not reported as not run': { route: nonIdempotent, steps: [{ at: 50, event: { kind: 'stopping' } }] },
  'a request that no target was offered is rejected as not run when the daemon stops': { targets: [], steps: [{ at: 50, event: { kind: 'stopping' } }] },
  'a failure shortly before the deadline is not retried': { steps: [reply(1_100, 1, { kind: 'failed', reason: 'reset' })] },
  'a request is hedged when its delay is over': { hedgeDelayMs: 200, steps: [timer(200), reply(300, 2, ok)] },
  'a request without a hedge delay is not hedged': { hedgeDelayMs: Infinity, steps: [timer(540), timer(1_300)] },
  'the hedge is cancelled when the first run answers': { hedgeDelayMs: 200, hedgePlacement: 'freeSlot', steps: [timer(200), reply(210, 1, ok)] },
  'a hedge that needs a free slot skips busy targets': { hedgeDelayMs: 200, hedgePlacement: 'freeSlot', busy: ['b'], steps: [timer(200), reply(300, 2, ok)] },
  'a hedge that needs a free slot does not queue': { hedgeDelayMs: 200, hedgePlacement: 'freeSlot', busy: ['b', 'c'], steps: [timer(200), reply(900, 1, ok)] },
  'a hedge that finds no slot ends and the first run goes on': { hedgeDelayMs: 200, hedgePlacement: 'freeSlot', steps: [timer(200), reply(202, 2, busyReply), timer(540), reply(900, 1, ok)] },
  'a hedge that needs a free slot takes no large body to another data centre': { hedgeDelayMs: 200, hedgePlacement: 'freeSlot', remote: ['b', 'c'], bodyBytes: 60_000, steps: [timer(200), reply(900, 1, ok)] },
  'a hedge that is held back is not tried again': { hedgeDelayMs: 200, hedgePlacement: 'none', steps: [timer(200), timer(540), reply(900, 1, ok)] },
  'a hedge that fails leaves the first run': { hedgeDelayMs: 200, hedgePlacement: 'freeSlot', steps: [timer(200), reply(300, 2, failure), reply(400, 1, ok)] },
  'a first run that fails leaves the hedge': { hedgeDelayMs: 200, hedgePlacement: 'freeSlot', steps: [timer(200), reply(300, 1, failure), reply(400, 2, ok)] },
  'a request in a queue is not hedged': { hedgeDelayMs: 200, busy: ['a', 'b', 'c'], steps: [timer(200), reply(900, 1, ok)] }
}

for (const [name, scenario] of Object.entries(scenarios)) {
  test(`guards the flow of a request: ${name}`, (t) => {
    t.snapshot(runScenario(scenario))
  })
}

test('guards against a request being rejected as not run after an attempt may have run', (t) => {
  const outcomes: HopReply[] = [ok, failure, busyReply, { kind: 'notRun', reason: 'shed' }, { kind: 'failed', reason: 'reset' }, { kind: 'failed', reason: 'lost' }]
  for (const first of outcomes) {
    for (const second of outcomes) {
      for (const scenarioRoute of [route, nonIdempotent]) {
        const lines = runScenario({ route: scenarioRoute, steps: [reply(10, 1, first), reply(20, 2, second), reply(30, 3, second), reply(40, 4, second), timer(1_300)] }).join(' ')
        const ran = [first, second].some(({ kind }) => kind !== 'notRun')
        if (first.kind !== 'notRun') t.false(lines.includes('reject'), lines)
        if (!ran && lines.includes('fail 50')) t.fail(lines)
      }
    }
  }
})
