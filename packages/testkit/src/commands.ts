import { fork, type ChildProcess } from 'node:child_process'

/** Commands that a child process serves over its IPC channel, by name. */
export type CommandHandlers = Readonly<Record<string, (args: never) => unknown>>

interface CommandRequest { id: number, name: string, args: unknown }
interface CommandReply { id: number, result?: unknown, error?: string }

/** Serves commands in a child process until its parent disconnects. */
export function serveCommands (handlers: CommandHandlers): void {
  process.on('message', (req: CommandRequest) => {
    handleRequest(handlers, req).then((message) => process.send?.(message), () => process.exit(1))
  })
  process.once('disconnect', () => process.exit(0))
}

async function handleRequest (handlers: CommandHandlers, req: CommandRequest): Promise<CommandReply> {
  try {
    return { id: req.id, result: await handlers[req.name]!(req.args as never) }
  } catch (err) {
    return { id: req.id, error: String((err as Error).stack ?? err) }
  }
}

/** Starts a child process that serves commands, and calls them from the parent over IPC. */
export class CommandProcess {
  readonly #child: ChildProcess
  readonly #pending = new Map<number, (reply: CommandReply) => void>()
  #lastId = 0

  constructor (file: string, nodeArgs: string[] = []) {
    this.#child = fork(file, [], { execArgv: nodeArgs, stdio: ['ignore', 'inherit', 'inherit', 'ipc'] })
    this.#child.on('message', (message: CommandReply) => {
      this.#pending.get(message.id)?.(message)
      this.#pending.delete(message.id)
    })
    this.#child.once('exit', (code) => {
      for (const [id, resolve] of this.#pending) resolve({ id, error: `the process exited with code ${code}` })
      this.#pending.clear()
    })
  }

  /** Runs a command in the child; rejects if the command throws or the process exits. */
  async call<R = unknown> (name: string, args: unknown = {}): Promise<R> {
    const id = ++this.#lastId
    const message = await new Promise<CommandReply>((resolve) => {
      this.#pending.set(id, resolve)
      this.#child.send({ id, name, args }, (err) => { if (err) resolve({ id, error: String(err) }) })
    })
    if (message.error !== undefined) throw new Error(`${name}: ${message.error}`)
    return message.result as R
  }

  /** Disconnects the child, which makes it exit, and waits for the exit. */
  async stop (): Promise<void> {
    if (this.#child.exitCode !== null || this.#child.signalCode !== null) return
    const exited = new Promise((resolve) => this.#child.once('exit', resolve))
    this.#child.disconnect()
    await exited
  }
}
