import { cac } from 'cac'
import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { userInfo } from 'node:os'
import { errorCode, NodeTimers, NoMetrics, SeededRandom } from '@lentilwheel/core'
import { parseConfig } from '@lentilwheel/config'
import { HttpPlatformClient, isAway, readHead } from '@lentilwheel/platform'
import { applyFile } from './apply.js'

const EXIT_REFUSED = 1
const EXIT_PLATFORM_AWAY = 3

interface GlobalOptions {
  platform: string
  json?: boolean
}

/** Runs `lentilwheel`. */
export async function main (argv: string[]): Promise<void> {
  const cli = cac('lentilwheel')
  cli.option('--platform <url>', 'Address of the platform\'s object API', {
    default: process.env['LENTILWHEEL_PLATFORM'] ?? 'http://127.0.0.1:8090'
  })
  cli.option('--json', 'Print JSON')
  cli.command('check <file>', 'Check a configuration without a platform').action((file: string) => {
    parseConfig(readFileSync(file), file)
    console.log(`${file}: ok`)
  })
  cli.command('apply <file>', 'Have a configuration accepted').action(async (file: string, opts: GlobalOptions) => {
    await withPlatform(opts, async (client) => {
      const result = await applyFile(client, {
        bytes: readFileSync(file), file, author: userInfo().username, changeId: randomUUID(), now: Date.now()
      })
      console.log(opts.json ? JSON.stringify(result) : `accepted as version ${result.version}`)
    })
  })
  cli.command('status', 'What is in force').action(async (opts: GlobalOptions) => {
    await withPlatform(opts, async (client) => {
      const { head } = await readHead(client)
      console.log(opts.json ? JSON.stringify({ version: head.version }) : `version ${head.version} is accepted`)
    })
  })
  cli.help()
  try {
    cli.parse(argv, { run: false })
    await cli.runMatchedCommand()
  } catch (err) {
    console.error(`lentilwheel: ${errorCode(err)}: ${(err as Error).message}`)
    process.exitCode = isAway(err) ? EXIT_PLATFORM_AWAY : EXIT_REFUSED
  }
}

async function withPlatform (opts: GlobalOptions, run: (client: HttpPlatformClient) => Promise<void>): Promise<void> {
  const timers = new NodeTimers(new SeededRandom(1))
  const client = new HttpPlatformClient({ url: opts.platform, timers, metrics: new NoMetrics() })
  try {
    await run(client)
  } finally {
    await client.close()
  }
}
