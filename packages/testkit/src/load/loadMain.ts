import { serveCommands } from '../commands.js'
import { OpenLoopGenerator, type LoadRequest } from './openLoopGenerator.js'

/** Load generator in a process of its own: the command `run` sends one load and returns its results. */
serveCommands({
  run: async (req: LoadRequest) => await new OpenLoopGenerator(req).run()
})
