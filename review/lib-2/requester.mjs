// A requester: sends one request on a connection of its own and reports what it got, as it arrived on the socket.
import net from 'node:net'

let count = 0
const prefix = Math.floor(Math.random() * 0xffff_ffff).toString(16).padStart(8, '0')

/** A new request id. */
export function newId () {
  return `${prefix}${(++count).toString(16).padStart(8, '0')}`
}

/**
 * Sends a request. Resolves to { id, status, headers, body, end }, where `end` is 'complete' for an answer of which the length is known and
 * all has arrived, 'closed' for one that ended with the connection, 'short' for one that ended too soon, and 'reset' or 'none'.
 */
export async function send ({ address, port }, { method = 'GET', path = '/', host, deadlineMs = 3000, id = newId(), body = '', headers = [], readDelayMs = 0, timeoutMs = 10_000 }) {
  const bytes = Buffer.from(body)
  const head = [`${method} ${path} HTTP/1.1`, `Host: ${host}`, `Lentilwheel-Request-Id: ${id}`, `Lentilwheel-Deadline-Ms: ${deadlineMs}`, ...headers, ...bytes.length > 0 || method === 'POST' ? [`Content-Length: ${bytes.length}`] : []]
  const sentAt = Date.now()
  return await new Promise((resolve) => {
    const socket = net.connect({ host: address, port, noDelay: true })
    let received = Buffer.alloc(0)
    let isReset = false
    const timer = setTimeout(() => socket.destroy(), timeoutMs)
    const finish = () => {
      clearTimeout(timer)
      socket.destroy()
      resolve({ id, sentAt, ms: Date.now() - sentAt, ...parse(received, isReset) })
    }
    socket.on('connect', () => socket.write(Buffer.concat([Buffer.from(`${head.join('\r\n')}\r\n\r\n`), bytes])))
    socket.on('data', (chunk) => {
      received = Buffer.concat([received, chunk])
      if (readDelayMs > 0) {
        socket.pause()
        setTimeout(() => socket.resume(), readDelayMs)
      }
      if (parse(received, false, false).end === 'complete') finish()
    })
    socket.on('error', () => { isReset = true })
    socket.on('close', finish)
  })
}

/** What has arrived of an answer; `isEnded`: whether nothing more will come. */
export function parse (bytes, isReset, isEnded = true) {
  const headEnd = bytes.indexOf('\r\n\r\n')
  if (headEnd < 0) return { end: isReset ? 'reset' : 'none' }
  const [statusLine, ...lines] = bytes.subarray(0, headEnd).toString('latin1').split('\r\n')
  const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const status = Number(statusLine.split(' ')[1])
  const body = bytes.subarray(headEnd + 4)
  if (headers['transfer-encoding'] === 'chunked') return { status, headers, ...dechunk(body, isReset, isEnded) }
  const length = headers['content-length']
  if (length !== undefined) return { status, headers, body: body.subarray(0, Number(length)), end: body.length >= Number(length) ? 'complete' : isReset ? 'reset' : 'short' }
  return { status, headers, body, end: isReset ? 'reset' : isEnded ? 'closed' : 'short' }
}

function dechunk (bytes, isReset) {
  const chunks = []
  for (let at = 0; ;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    if (lineEnd < 0) return { body: Buffer.concat(chunks), end: isReset ? 'reset' : 'short' }
    const size = Number.parseInt(bytes.subarray(at, lineEnd).toString(), 16)
    const chunk = bytes.subarray(lineEnd + 2, lineEnd + 2 + size)
    chunks.push(chunk)
    if (size === 0) return { body: Buffer.concat(chunks), end: 'complete' }
    if (chunk.length < size) return { body: Buffer.concat(chunks), end: isReset ? 'reset' : 'short' }
    at = lineEnd + 4 + size
  }
}
