import type { Socket } from 'node:net'

/** Connections of one kind that are open, so that the process can wait for their end before it exits. */
export class OpenSockets {
  readonly #sockets = new Set<Socket>()
  #onEmpty: (() => void)[] = []

  /** Number of open connections. */
  get size (): number {
    return this.#sockets.size
  }

  /** Bytes that the system has not taken yet. */
  get unsentBytes (): number {
    let bytes = 0
    for (const socket of this.#sockets) bytes += socket.writableLength
    return bytes
  }

  add (socket: Socket): void {
    this.#sockets.add(socket)
    socket.once('close', () => this.#remove(socket))
  }

  /** Resolves once none is open. */
  async whenEmpty (): Promise<void> {
    if (this.#sockets.size === 0) return
    await new Promise<void>((resolve) => { this.#onEmpty.push(resolve) })
  }

  #remove (socket: Socket): void {
    this.#sockets.delete(socket)
    if (this.#sockets.size > 0) return
    for (const resolve of this.#onEmpty) resolve()
    this.#onEmpty = []
  }
}
