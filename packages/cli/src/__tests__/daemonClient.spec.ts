import test from 'ava'
import { createServer } from 'node:http'
import { createServer as createTcpServer, type AddressInfo, type Server } from 'node:net'
import { HttpDaemonAdmin } from '../account/nodeDaemonClient.js'
import { DaemonBadAnswer, DaemonUnreachable, UsageError } from '../errors.js'

async function addressOf (server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

test('asks the admin side for the fleet and for a take-back', async (t) => {
  const asked: string[] = []
  const server = createServer((req, res) => {
    asked.push(`${req.method} ${req.url}`)
    res.end(JSON.stringify({ protocol: 1, accounts: [], moves: [], events: [], silent: [], move: 'a/b', published: true }))
  })
  const daemon = new HttpDaemonAdmin(await addressOf(server))
  await daemon.fleet()
  await daemon.events()
  await daemon.takeBack('a/b')
  t.deepEqual(asked, ['GET /status?scope=fleet', 'GET /events?scope=fleet', 'POST /moves/a%2Fb/take-back'])
  server.closeAllConnections()
  server.close()
})

/** Guards against failures of the connection that end the command with a stack trace. */
test('an address where no daemon answers is named', async (t) => {
  const server = createTcpServer((socket) => { socket.resume().end('SSH-2.0-OpenSSH\r\n') })
  const address = await addressOf(server)
  await t.throwsAsync(new HttpDaemonAdmin(address).fleet(), { any: true, instanceOf: DaemonBadAnswer, message: /does not speak HTTP/ })
  await new Promise((resolve) => server.close(resolve))
  await t.throwsAsync(new HttpDaemonAdmin(address).fleet(), { any: true, instanceOf: DaemonUnreachable, message: /nothing listens/ })
  for (const wrong of ['', 'https://x', 'a b', '::']) {
    t.throws(() => new HttpDaemonAdmin(wrong), { any: true, instanceOf: UsageError }, wrong)
  }
})
