import test from 'ava'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { VirtualTimers } from '@lentilwheel/core'
import { NodeTargetClient } from '../nodeTargetClient.js'
import type { TargetResult } from '../targetResult.js'

const names = {
  requestId: 'x-id', deadline: 'x-deadline', expectedTarget: 'x-expected', notRun: 'x-not-run', load: 'x-load', callerService: 'x-caller', signature: 'x-sig'
}

/** A target that answers each request at once and counts its connections. */
class Target {
  connections = 0
  readonly #sockets = new Set<Socket>()
  readonly #server = createServer((socket) => {
    this.connections++
    this.#sockets.add(socket)
    socket.on('data', (bytes) => {
      const id = /x-id: (\S+)/.exec(String(bytes))![1]!
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n`)
    })
  })

  async listen (): Promise<number> {
    await new Promise<void>((resolve) => { this.#server.listen(0, '127.0.0.1', resolve) })
    return (this.#server.address() as AddressInfo).port
  }

  close (): void {
    for (const socket of this.#sockets) socket.destroy()
    this.#server.close()
  }
}

test('guards against a request that may run once going on a connection that its target may have forgotten', async (t) => {
  const target = new Target()
  t.teardown(() => target.close())
  const timers = new VirtualTimers()
  const client = new NodeTargetClient({ host: '127.0.0.1', port: await target.listen(), names, timers, onStray: () => {}, onConnect: () => {} })
  let ids = 0
  const send = async (idempotent: boolean): Promise<string> => {
    const requestId = `r${++ids}`
    const request = { requestId, method: 'GET', bytes: Buffer.from(`GET / HTTP/1.1\r\nx-id: ${requestId}\r\n\r\n`), timeoutMs: 60_000 }
    const result = await new Promise<TargetResult>((resolve) => { client.send(request, idempotent, resolve) })
    return result.kind
  }
  t.is(await send(true), 'response')
  t.is(await send(false), 'response')
  t.is(target.connections, 1, 'a fresh connection is used again')
  timers.advance(300)
  t.is(await send(true), 'response')
  t.is(target.connections, 1, 'a request that may run twice takes the chance')
  timers.advance(300)
  t.is(await send(false), 'response')
  t.is(target.connections, 2)
  client.reset()
})
