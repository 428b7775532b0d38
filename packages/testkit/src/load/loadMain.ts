import { serveCommands } from '../commands.js'
import { OpenLoop, type LoadRequest } from './openLoop.js'

/** The load process: `run` sends one load and answers its figures. */
serveCommands({
  run: async (req: LoadRequest) => await new OpenLoop(req).run()
})
