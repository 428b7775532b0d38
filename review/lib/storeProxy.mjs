import net from 'node:net'

/** Proxy between the daemons and the store, whose open connections can go silent for good while new ones work. */
export class StoreProxy {
  #links = new Set()
  #server

  async listen (port, ip, store) {
    this.#server = net.createServer((socket) => this.#connect(socket, store))
    await new Promise((resolve, reject) => this.#server.once('error', reject).listen(port, ip, resolve))
  }

  /** From now on nothing passes over the open connections; they aren't closed. Returns their number. */
  silence () {
    for (const link of this.#links) link.isSilent = true
    return this.#links.size
  }

  close () {
    this.#server.close()
    for (const { sockets } of this.#links) for (const socket of sockets) socket.destroy()
  }

  #connect (socket, { ip, port }) {
    const upstream = net.connect(port, ip)
    const link = { isSilent: false, sockets: [socket, upstream] }
    this.#links.add(link)
    const forward = (from, to) => {
      from.on('data', (chunk) => { if (!link.isSilent) to.write(chunk) })
      from.on('error', () => {})
      from.on('close', () => {
        if (link.isSilent) return
        this.#links.delete(link)
        to.destroy()
      })
    }
    forward(socket, upstream)
    forward(upstream, socket)
  }
}
