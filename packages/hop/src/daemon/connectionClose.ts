import type { Cancel, Timers } from '@lentilwheel/core'
import type { CallLog } from '../observe/callLog.js'

export interface ConnectionCloseOptions {
  timers: Timers
  log: CallLog
  /** When the process has to exit, in monotonic milliseconds. */
  exitAt: number
  /** Server for the callers' requests. */
  callers: { readonly connections: number, close (): void, whenClosed (): Promise<void> }
  /** Connections to and from other daemons. */
  peers: { readonly size: number, readonly unsentBytes: number, whenEmpty (): Promise<void> }
  /** Ends the connections to and from other daemons. */
  closePeers (): void
}

/** Least time before the exit that connections of other daemons have to close. */
const MIN_PEERS_CLOSE_MS = 50
/** Time in which a daemon that can be reached closes its connections; one that can't must not hold up the exit. */
const PEERS_CLOSE_MS = 500

/**
 * Ends all connections of a daemon that stops, first those of callers, and waits until the other sides have closed them: once the process
 * has exited, what the system still has to send on a connection is lost as soon as anything arrives there.
 */
export async function closeConnections ({ timers, log, exitAt, callers, peers, closePeers }: ConnectionCloseOptions): Promise<void> {
  callers.close()
  await waitUntil(timers, exitAt - MIN_PEERS_CLOSE_MS, callers.whenClosed())
  closePeers()
  await waitUntil(timers, Math.min(exitAt, timers.now() + PEERS_CLOSE_MS), peers.whenEmpty())
  if (peers.unsentBytes > 0) await waitUntil(timers, exitAt, peers.whenEmpty())
  log.decision('closed', { openCallers: callers.connections, openPeers: peers.size })
}

async function waitUntil (timers: Timers, time: number, done: Promise<void>): Promise<void> {
  let cancel: Cancel = () => {}
  const timeout = new Promise<void>((resolve) => { cancel = timers.after(Math.max(0, time - timers.now()), resolve) })
  await Promise.race([done, timeout])
  cancel()
}
