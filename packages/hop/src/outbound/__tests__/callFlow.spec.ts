import test from 'ava'
import type { HopReply } from '../../link/messages.js'
import type { MeshRoute } from '../../routing/meshConfig.js'
import { callFlow, type CallCommand, type CallEvent } from '../callFlow.js'
import type { Candidate } from '../placer.js'

const route: MeshRoute = {
  name: 'r', host: 'h', pathPrefix: '/', parts: [{ service: 's', weight: 1 }], idempotent: true, bulky: false, timeoutMs: 1_200, targetLatencyMs: 600, priority: 1, maxAttempts: 2
}
const onceOnly: MeshRoute = { ...route, idempotent: false }
const good: HopReply = { kind: 'response', status: 200, headers: [], body: new Uint8Array(), unframed: false }
const failure: HopReply = { kind: 'response', status: 500, headers: [], body: new Uint8Array(), unframed: false }
const noSlot: HopReply = { kind: 'notRun', reason: 'busy' }

interface Step { at: number, event: CallEvent }
interface Play { route?: MeshRoute, targets?: string[], busy?: string[], full?: string[], far?: string[], bodyBytes?: number, repeats?: number, steps: Step[] }

/** Plays events into the flow of one request and tells what it did, one line per event. */
function play ({ route: played = route, targets = ['a', 'b', 'c'], busy = [], full = [], far = [], bodyBytes = 0, repeats = 9, steps }: Play): string[] {
  let now = 0
  const candidates: Candidate[] = targets.map((host) => ({ host, targetId: `t-${host}`, version: 'v1', isNear: !far.includes(host), costMs: 1, isBusy: busy.includes(host), isFull: full.includes(host) }))
  const flow = callFlow({ route: played, deadlineAt: 1_200, bodyBytes }, {
    now: () => now,
    candidates: (exclude) => candidates.filter(({ host }) => !exclude.has(host)),
    takeRepeat: () => repeats-- > 0,
    retryAfterMs: () => 250
  })
  const lines = [show(flow.next().value ?? [])]
  for (const { at, event } of steps) {
    now = at
    const result = flow.next(event)
    lines.push(`${at}: ${show(result.value ?? [])}${result.done ? '(over)' : ''}`)
  }
  return lines
}

function show (commands: readonly CallCommand[]): string {
  return commands.map(showOne).join('; ')
}

function showOne (command: CallCommand): string {
  switch (command.kind) {
    case 'offer': return `offer ${command.attempt} ${command.candidate.host} ${command.mode}${command.repeat ? ' repeat' : ''}`
    case 'cancel': return `cancel ${command.attempt}`
    case 'timer': return `timer ${command.ms}`
    case 'answer': return `answer ${command.reply.status}`
    case 'refuse': return `refuse ${command.reason}`
    case 'fail': return `fail ${command.status} ${command.reason}`
  }
}

const reply = (at: number, attempt: number, what: HopReply): Step => ({ at, event: { kind: 'reply', attempt, reply: what } })
const timer = (at: number): Step => ({ at, event: { kind: 'timer' } })

const plays: Record<string, Play> = {
  'a request is answered': { steps: [reply(200, 1, good)] },
  'busy targets are passed over, then the request queues at the best': { steps: [reply(1, 1, noSlot), reply(2, 2, noSlot), reply(300, 3, good)] },
  'a full queue refuses at once and truly': { route: onceOnly, steps: [reply(1, 1, noSlot), reply(2, 2, noSlot), reply(3, 3, noSlot)] },
  'a request that would displace more urgent ones is refused at once': { steps: [reply(1, 1, { kind: 'notRun', reason: 'displacing' })] },
  'a repeatable request goes on after a failure': { steps: [reply(100, 1, failure), reply(200, 2, good)] },
  'attempts are bounded': { steps: [reply(100, 1, failure), reply(200, 2, failure)] },
  'without budget the failure is the answer': { repeats: 0, steps: [reply(100, 1, failure)] },
  'a request that may run once never goes elsewhere after it may have run': { route: onceOnly, steps: [reply(100, 1, { kind: 'failed', reason: 'reset' })] },
  'a failure of the target is the answer of a request that may run once': { route: onceOnly, steps: [reply(100, 1, failure)] },
  'a request that may run once goes elsewhere when it surely did not run': { route: onceOnly, steps: [reply(10, 1, { kind: 'notRun', reason: 'draining' }), reply(200, 2, good)] },
  'one that was shed goes elsewhere as a repeat': { route: onceOnly, steps: [reply(10, 1, { kind: 'notRun', reason: 'shed' }), reply(200, 2, good)] },
  'an offer is a repeat also after a busy target': { steps: [reply(10, 1, { kind: 'notRun', reason: 'shed' }), reply(12, 2, noSlot), reply(200, 3, good)] },
  'one that was shed is refused truly without budget': { route: onceOnly, repeats: 0, steps: [reply(10, 1, { kind: 'notRun', reason: 'shed' })] },
  'a silent attempt is doubled and the first answer wins': { steps: [timer(540), reply(700, 2, good)] },
  'a request that may run once is never doubled': { route: onceOnly, steps: [timer(540), timer(1_300)] },
  'the deadline ends a request that may have run without a promise': { route: onceOnly, steps: [timer(1_300)] },
  'an answer without a length is asked for elsewhere': { steps: [reply(100, 1, { ...good, unframed: true }), reply(200, 2, good)] },
  'an answer without a length is passed on when there is no other': { route: onceOnly, steps: [reply(100, 1, { ...good, unframed: true })] },
  'the caller leaves': { steps: [{ at: 50, event: { kind: 'callerLeft' } }] },
  'targets known to be busy are not asked for a slot': { busy: ['a', 'b'], steps: [reply(2, 1, noSlot), reply(300, 2, good)] },
  'known to be served nowhere in time: refused without an offer': { route: onceOnly, busy: ['a', 'b', 'c'], full: ['a', 'b', 'c'], steps: [] },
  'no target for a moment': { targets: [], steps: [timer(60), timer(500)] },
  'a broken link of a repeatable request': { steps: [reply(700, 1, { kind: 'failed', reason: 'lost' }), reply(900, 2, good)] },
  'a large body crosses data centres only once a slot is known': { far: ['b', 'c'], bodyBytes: 60_000, route: onceOnly, steps: [reply(1, 1, noSlot), reply(4, 2, { kind: 'notRun', reason: 'vacant' }), reply(300, 3, good)] },
  'a question that nobody answers ran nothing': { targets: ['a', 'b'], far: ['a', 'b'], bodyBytes: 60_000, route: onceOnly, steps: [reply(100, 1, { kind: 'failed', reason: 'lost' }), timer(1_300)] },
  'the daemon stops while a request may run: no promise': { route: onceOnly, steps: [{ at: 50, event: { kind: 'stopping' } }] },
  'the daemon stops while no target was asked: a true refusal': { targets: [], steps: [{ at: 50, event: { kind: 'stopping' } }] },
  'a late failure leaves no time to repeat': { steps: [reply(1_100, 1, { kind: 'failed', reason: 'reset' })] }
}

for (const [name, played] of Object.entries(plays)) {
  test(`guards the course of a request: ${name}`, (t) => {
    t.snapshot(play(played))
  })
}

test('guards against a refusal that promises too much: nothing says "not run" after an attempt may have run', (t) => {
  const outcomes: HopReply[] = [good, failure, noSlot, { kind: 'notRun', reason: 'shed' }, { kind: 'failed', reason: 'reset' }, { kind: 'failed', reason: 'lost' }]
  for (const first of outcomes) {
    for (const second of outcomes) {
      for (const played of [route, onceOnly]) {
        const lines = play({ route: played, steps: [reply(10, 1, first), reply(20, 2, second), reply(30, 3, second), reply(40, 4, second), timer(1_300)] }).join(' ')
        const ran = [first, second].some(({ kind }) => kind !== 'notRun')
        if (first.kind !== 'notRun') t.false(lines.includes('refuse'), lines)
        if (!ran && lines.includes('fail 50')) t.fail(lines)
      }
    }
  }
})
