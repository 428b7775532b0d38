import type { IncomingMessage, ServerResponse } from 'node:http'

/** Ways in which the target stand-in misbehaves, named in the `x-fault` header of a request or by `faultOf`. */
export const FAULTS = [
  'dieBeforeBody', 'dieDuringBody', 'dieAfterBody', 'dieAfterRun', 'dieMidAnswer', 'closeReused', 'answerLate',
  'answerTwice', 'shortBody', 'longBody', 'badChunk', 'chunkedCut', 'answerEarly', 'shedUnrun', 'shedSilently', 'hang',
  'fail', 'runAndFail'
] as const
export type Fault = typeof FAULTS[number]

/** What a fault may use of the stand-in. */
export interface FaultContext {
  req: IncomingMessage
  res: ServerResponse
  /** Body of the right answer. */
  body: string
  /** Whether the connection carried a request before. */
  reused: boolean
  lateMs: number
  run (): void
  answer (): void
}

type Act = (ctx: FaultContext) => void

const kill: Act = ({ req }) => { req.socket.destroy() }
const afterBody = (act: Act): Act => (ctx) => {
  ctx.req.resume()
  ctx.req.once('end', () => act(ctx))
}
const afterRun = (act: Act): Act => afterBody((ctx) => {
  ctx.run()
  act(ctx)
})
const raw = (text: (body: string) => string, end: boolean): Act => (ctx) => {
  const socket = ctx.req.socket
  const data = text(ctx.body)
  if (end) socket.end(data)
  else socket.write(data)
}
const head = (length: number): string =>
  `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${length}\r\n\r\n`
const CHUNKED = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
const EXTRA_BYTES = 10

const ACTS: Readonly<Record<Fault, Act>> = {
  dieBeforeBody: kill,
  dieDuringBody: (ctx) => { ctx.req.once('data', () => kill(ctx)) },
  dieAfterBody: afterBody(kill),
  dieAfterRun: afterRun(kill),
  dieMidAnswer: afterRun((ctx) => {
    const socket = ctx.req.socket
    socket.write(head(ctx.body.length) + ctx.body.slice(0, ctx.body.length >> 1), () => socket.resetAndDestroy())
  }),
  closeReused: (ctx) => ctx.reused ? kill(ctx) : afterRun((inner) => inner.answer())(ctx),
  answerLate: afterRun((ctx) => { setTimeout(() => ctx.answer(), ctx.lateMs) }),
  answerTwice: afterRun(raw((body) => (head(body.length) + body).repeat(2), false)),
  shortBody: afterRun(raw((body) => head(body.length + EXTRA_BYTES) + body, true)),
  longBody: afterRun(raw((body) => head(body.length) + body + 'x'.repeat(EXTRA_BYTES), false)),
  badChunk: afterRun(raw((body) => `${CHUNKED}${body.length.toString(16)}\r\n${body}\r\nnot-hex\r\n`, false)),
  chunkedCut: afterRun(raw((body) => `${CHUNKED}${body.length.toString(16)}\r\n${body}\r\n`, true)),
  answerEarly: (ctx) => {
    ctx.run()
    ctx.answer()
  },
  shedUnrun: afterBody(({ res }) => { res.writeHead(503, { 'x-lentilwheel-not-run': '1' }).end('full\n') }),
  shedSilently: afterRun(({ res }) => { res.writeHead(503).end('full\n') }),
  hang: (ctx) => { ctx.req.resume() },
  fail: afterBody(({ res }) => { res.writeHead(500).end('failed\n') }),
  runAndFail: afterRun(({ res }) => { res.writeHead(500).end('failed\n') })
}

export function actFault (fault: Fault, ctx: FaultContext): void {
  ACTS[fault](ctx)
}

export function isFault (name: unknown): name is Fault {
  return FAULTS.some((fault) => fault === name)
}
