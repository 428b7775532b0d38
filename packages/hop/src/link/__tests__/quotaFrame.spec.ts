import test, { type ExecutionContext } from 'ava'
import { setTimeout as sleep } from 'node:timers/promises'
import { errorCode, NodeTimers, SeededRandom } from '@lentilwheel/core'
import { NO_LAG, unlimitedQueue } from '../../__tests__/fixtures.js'
import type { InboundHandler } from '../../inbound/inboundHandler.js'
import { NoopCallLog } from '../../observe/callLog.js'
import type { QuotaAnswer, QuotaMessage } from '../messages.js'
import { NodeHopServer, type HopServerOptions } from '../nodeHopServer.js'
import { NodePeerLink } from '../nodePeerLink.js'
import { unpackQuotaAnswers } from '../quotaCodec.js'

const timers = new NodeTimers(new SeededRandom(1))

const MESSAGE: QuotaMessage = { mode: 'direct', questions: [{ workspace: 'w1', count: 3, ratePerS: 12.5, burst: 20, isRepeat: true }, { workspace: 'w2', count: 1, ratePerS: 2, burst: 0, isRepeat: false }, { workspace: 'w3', count: 1, ratePerS: 2, burst: 0, isRepeat: false }] }
const ANSWERS: QuotaAnswer[] = [{ kind: 'lent', count: 2, waitMs: 12.5 }, { kind: 'settling', waitMs: 300 }, { kind: 'notLender' }]

/** Two daemons' ends of a link over loopback; the second one handles questions by the given function. */
async function linked (t: ExecutionContext, onQuota: HopServerOptions['onQuota']): Promise<NodePeerLink> {
  const server = new NodeHopServer({ address: '127.0.0.1', port: 0, identity: () => ({ host: 'p', incarnation: 1 }), timers, queue: unlimitedQueue(), handler: {} as InboundHandler, log: new NoopCallLog(), lag: NO_LAG, onSync: (message) => message, onQuota, isUp: (host) => host === 'a', deltaSince: () => undefined })
  await server.listen()
  const link = new NodePeerLink({ host: 'p', address: '127.0.0.1', port: server.port, timers, log: new NoopCallLog(), queue: unlimitedQueue(), idlePingMs: () => 3_000, onStateChange: () => {}, onSilent: () => {} })
  t.teardown(() => {
    link.close()
    server.close()
  })
  return link
}

async function ask (link: NodePeerLink, message = MESSAGE): Promise<readonly QuotaAnswer[] | undefined> {
  return await new Promise((resolve) => link.askQuota(message, resolve))
}

test('guards against questions about quotas or their answers being altered on the link', async (t) => {
  const received: QuotaMessage[] = []
  const link = await linked(t, (message, reply) => {
    received.push(message)
    reply(ANSWERS)
  })
  t.deepEqual(await ask(link), ANSWERS)
  t.deepEqual(received, [MESSAGE])
})

test('guards against answers that come later being given to another question', async (t) => {
  const link = await linked(t, async ({ questions }, reply) => {
    await sleep(questions[0]!.count)
    reply([{ kind: 'lent', count: questions[0]!.count, waitMs: 0 }])
  })
  const counts = [30, 1, 10]
  const answers = await Promise.all(counts.map(async (count) => await ask(link, { mode: 'relayed', questions: [{ ...MESSAGE.questions[0]!, count }] })))
  t.deepEqual(answers.flat(), counts.map((count) => ({ kind: 'lent', count, waitMs: 0 })))
})

test('guards against a question being left without an outcome when the link breaks', async (t) => {
  const link = await linked(t, () => link.close())
  t.is(await ask(link), undefined)
})

test('guards against an invalid question ending more than its connection', async (t) => {
  const link = await linked(t, (_message, reply) => reply(ANSWERS))
  t.is(await ask(link, { mode: 'direct', questions: [{ ...MESSAGE.questions[0]!, count: 0 }] }), undefined)
  t.deepEqual(await ask(link), ANSWERS)
})

test('guards against a daemon being told that a host can be reached that can not', async (t) => {
  const link = await linked(t, () => {})
  t.deepEqual(await new Promise((resolve) => link.askReach(['a', 'b'], resolve)), [true, false])
})

const badReplies: Record<string, unknown> = {
  'more answers than questions': [[0, 1, 0], [2, 0, 0]],
  'no list': { count: 1 },
  'more credits than were asked for': [[0, 4, 0]],
  'a negative count': [[0, -1, 0]],
  'a fraction of a credit': [[0, 0.5, 0]],
  'an endless wait': [[1, 0, Infinity]],
  'an unknown kind': [[3, 0, 0]],
  'a missing field': [[0, 1]]
}
for (const [name, reply] of Object.entries(badReplies)) {
  test(`guards against an invalid reply about quotas being used: ${name}`, (t) => {
    const err = t.throws(() => unpackQuotaAnswers(reply, MESSAGE.questions.slice(0, 1)), { any: true })
    t.is(errorCode(err), 'bad-message')
  })
}
