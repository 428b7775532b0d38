import type { Socket } from 'node:net'

/**
 * Reads and drops what arrives on a connection from now on; the HTTP parser gets none of it. A connection that is closed while bytes
 * are unread, or that gets more of them later, is reset by the system, and the other side loses what it has not read of the responses.
 */
export function discardInput (socket: Socket): void {
  // Node.js reads past the stream until a listener is added, so the parser can be removed only after that.
  socket.on('data', ignore)
  for (const listener of socket.listeners('data')) if (listener !== ignore) socket.removeListener('data', listener as () => void)
  socket.resume()
}

function ignore (): void {}
