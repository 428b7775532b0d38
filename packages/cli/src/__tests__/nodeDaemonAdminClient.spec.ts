import test from 'ava'
import { createServer } from 'node:http'
import { createServer as createTcpServer, type AddressInfo, type Server } from 'node:net'
import { HttpDaemonAdminClient } from '../account/nodeDaemonAdminClient.js'
import { DaemonBadAnswer, DaemonUnreachable, UsageError } from '../errors.js'

async function addressOf (server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

test('the client calls the paths of the admin API for status, events and a take-back', async (t) => {
  const requests: string[] = []
  const server = createServer((req, res) => {
    requests.push(`${req.method} ${req.url}`)
    res.end(JSON.stringify({ protocol: 1, accounts: [], moves: [], events: [], silent: [], move: 'a/b', published: true }))
  })
  const daemon = new HttpDaemonAdminClient(await addressOf(server))
  await daemon.fleet()
  await daemon.events()
  await daemon.takeBack('a/b')
  t.deepEqual(requests, ['GET /status?scope=fleet', 'GET /events?scope=fleet', 'POST /moves/a%2Fb/take-back'])
  server.closeAllConnections()
  server.close()
})

/** Guards against connection failures that end the command with a stack trace. */
test('errors name an address at which no daemon responds', async (t) => {
  const server = createTcpServer((socket) => { socket.resume().end('SSH-2.0-OpenSSH\r\n') })
  const address = await addressOf(server)
  await t.throwsAsync(new HttpDaemonAdminClient(address).fleet(), { any: true, instanceOf: DaemonBadAnswer, message: /does not speak HTTP/ })
  await new Promise((resolve) => server.close(resolve))
  await t.throwsAsync(new HttpDaemonAdminClient(address).fleet(), { any: true, instanceOf: DaemonUnreachable, message: /nothing listens/ })
  for (const invalid of ['', 'https://x', 'a b', '::']) {
    t.throws(() => new HttpDaemonAdminClient(invalid), { any: true, instanceOf: UsageError }, invalid)
  }
})
