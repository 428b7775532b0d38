import type { Socket } from 'node:net'
import type { Timers } from '@lentilwheel/core'

/** Time in which the system tells that a connection was reset, while bytes still wait to be written to it. */
const MAX_CHECK_MS = 100
const NO_BYTES = Buffer.alloc(0)

/** Error of a write to a connection that the peer ended in order before it reset it; without that end the error is ECONNRESET. */
const RESET_AFTER_END = 'EPIPE'

/**
 * Finds out whether the peer has ended a connection in order, after `end`: Node.js reports a reset in the same way if it arrives together
 * with data. Writing, even nothing, fails on a connection that was reset, so the socket must allow to be half open. Calls `done` if the
 * peer's side was ended in order, also if a reset followed, as the peer had closed the connection while it was written to. Otherwise the
 * socket emits `error`.
 */
export function whenEndedInOrder (socket: Socket, timers: Pick<Timers, 'after'>, done: () => void): void {
  let isDone = false
  const finish = (): void => {
    if (isDone) return
    isDone = true
    stopTimer()
    done()
  }
  // Bytes that the peer doesn't read would keep the check waiting, though the writing of them would have failed as well.
  const stopTimer = timers.after(MAX_CHECK_MS, () => { if (!socket.destroyed) finish() })
  socket.write(NO_BYTES, (err) => {
    if (!err || (err as NodeJS.ErrnoException).code === RESET_AFTER_END) finish()
  })
}
