import { serveCommands } from './commands.js'
import { FakeTarget } from './fakeTarget.js'

/** Fake target in a process of its own, controlled by commands over IPC. */
let target: FakeTarget | undefined

serveCommands({
  start: async (opts: { service: string, version: string }) => {
    target = new FakeTarget(opts)
    await target.start()
    return target.port
  },
  configure: (opts: { delayMs?: number, answerBytes?: number }) => {
    if (opts.delayMs !== undefined) target!.delayMs = () => opts.delayMs!
    if (opts.answerBytes !== undefined) target!.answerBytes = opts.answerBytes
  },
  /** Returns the request ids that ran, with their number of runs, and resets the counts. */
  takeRuns: () => {
    const runs = [...target!.runs]
    target!.runs.clear()
    return runs
  },
  close: async () => { await target!.close() }
})
