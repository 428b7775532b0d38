import type { IncomingMessage, ServerResponse } from 'node:http'

/**
 * Faults that a fake target can simulate, chosen by the `x-fault` header of a request or by `faultOf`. Those with `die`
 * drop the connection. `shedUnrun` rejects a call with the header that says it was not run; `shedSilently` runs the call
 * and rejects it without that header.
 */
export const FAULTS = [
  'dieBeforeBody', 'dieDuringBody', 'dieAfterBody', 'dieAfterRun', 'dieMidAnswer', 'closeReused', 'answerLate',
  'answerTwice', 'shortBody', 'longBody', 'badChunk', 'chunkedCut', 'answerEarly', 'shedUnrun', 'shedSilently', 'hang',
  'fail', 'runAndFail'
] as const
export type Fault = typeof FAULTS[number]

/** Request of a fake target and the operations that a fault can use. */
export interface FaultContext {
  req: IncomingMessage
  res: ServerResponse
  /** Body of the correct response. */
  body: string
  /** Whether the connection carried a request before. */
  isReusedConnection: boolean
  /** Delay of the `answerLate` fault. */
  lateMs: number
  /** Counts the request as run. */
  recordRun (): void
  /** Sends the correct response. */
  respond (): void
}

type FaultAction = (ctx: FaultContext) => void

const destroyConnection: FaultAction = ({ req }) => { req.socket.destroy() }
const afterBody = (action: FaultAction): FaultAction => (ctx) => {
  ctx.req.resume()
  ctx.req.once('end', () => action(ctx))
}
const afterRun = (action: FaultAction): FaultAction => afterBody((ctx) => {
  ctx.recordRun()
  action(ctx)
})
const writeRaw = (toText: (body: string) => string, endsConnection: boolean): FaultAction => (ctx) => {
  const socket = ctx.req.socket
  const data = toText(ctx.body)
  if (endsConnection) socket.end(data)
  else socket.write(data)
}
const responseHead = (length: number): string =>
  `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${length}\r\n\r\n`
const CHUNKED_HEAD = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
/** Difference between the announced and the sent length of a body. */
const EXTRA_BYTES = 10

const FAULT_ACTIONS: Readonly<Record<Fault, FaultAction>> = {
  dieBeforeBody: destroyConnection,
  dieDuringBody: (ctx) => { ctx.req.once('data', () => destroyConnection(ctx)) },
  dieAfterBody: afterBody(destroyConnection),
  dieAfterRun: afterRun(destroyConnection),
  dieMidAnswer: afterRun((ctx) => {
    const socket = ctx.req.socket
    socket.write(responseHead(ctx.body.length) + ctx.body.slice(0, ctx.body.length >> 1), () => socket.resetAndDestroy())
  }),
  closeReused: (ctx) => ctx.isReusedConnection ? destroyConnection(ctx) : afterRun((inner) => inner.respond())(ctx),
  answerLate: afterRun((ctx) => { setTimeout(() => ctx.respond(), ctx.lateMs) }),
  answerTwice: afterRun(writeRaw((body) => (responseHead(body.length) + body).repeat(2), false)),
  shortBody: afterRun(writeRaw((body) => responseHead(body.length + EXTRA_BYTES) + body, true)),
  longBody: afterRun(writeRaw((body) => responseHead(body.length) + body + 'x'.repeat(EXTRA_BYTES), false)),
  badChunk: afterRun(writeRaw((body) => `${CHUNKED_HEAD}${body.length.toString(16)}\r\n${body}\r\nnot-hex\r\n`, false)),
  chunkedCut: afterRun(writeRaw((body) => `${CHUNKED_HEAD}${body.length.toString(16)}\r\n${body}\r\n`, true)),
  answerEarly: (ctx) => {
    ctx.recordRun()
    ctx.respond()
  },
  shedUnrun: afterBody(({ res }) => { res.writeHead(503, { 'x-lentilwheel-not-run': '1' }).end('full\n') }),
  shedSilently: afterRun(({ res }) => { res.writeHead(503).end('full\n') }),
  hang: (ctx) => { ctx.req.resume() },
  fail: afterBody(({ res }) => { res.writeHead(500).end('failed\n') }),
  runAndFail: afterRun(({ res }) => { res.writeHead(500).end('failed\n') })
}

/** Handles a request with the given fault instead of a correct response. */
export function applyFault (fault: Fault, ctx: FaultContext): void {
  FAULT_ACTIONS[fault](ctx)
}

export function isFault (name: unknown): name is Fault {
  return FAULTS.some((fault) => fault === name)
}
