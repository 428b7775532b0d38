import { cac, type CAC } from 'cac'
import { errorCode } from '@lentilwheel/core'
import { ConfigInvalid, suggestion } from '@lentilwheel/config'
import { adviceFor } from './advice.js'
import { commandName } from './commands/completion.js'
import { COMMANDS, COMMON_OPTIONS, type CommandSpec } from './commands/commandTable.js'
import type { CommandContext, CommonOptions } from './context.js'
import { UsageError } from './errors.js'
import { EXIT_SUCCESS, exitCodeOf, isUsageError } from './exitCodes.js'
import type { Screen } from './output/screen.js'
import { wrapBlock } from './output/text.js'

const NAME = 'lentilwheel'

export interface ProgramOptions {
  version: string
  screen: Screen
  /** Called only when a command runs, so that --help works even if the settings file is invalid. */
  makeContext (screen: Screen): CommandContext
}

/** Parses the arguments, runs the command, prints an error if it fails, and returns the exit code. */
export async function runProgram (argv: readonly string[], opts: ProgramOptions): Promise<number> {
  const { screen } = opts
  try {
    const cli = makeCli(opts)
    cli.parse([...argv], { run: false })
    if (cli.options['help'] || cli.options['version']) return EXIT_SUCCESS
    if (!cli.matchedCommand) throw unknownCommand(cli)
    await cli.runMatchedCommand()
    screen.finishJson()
    return EXIT_SUCCESS
  } catch (err) {
    reportError(err, argv.includes('--json'), screen)
    return exitCodeOf(err)
  }
}

/** Builds the parser from the command table. */
function makeCli ({ version, screen, makeContext }: ProgramOptions): CAC {
  const cli = cac(NAME)
  for (const option of COMMON_OPTIONS) cli.option(option.flags, option.description)
  for (const spec of COMMANDS) {
    const command = cli.command(spec.usage, spec.description)
    for (const option of spec.options ?? []) command.option(option.flags, option.description)
    for (const example of spec.examples) command.example(`  $ ${NAME} ${example}`)
    command.action(async (...cacArgs: unknown[]) => await runCommand(spec, makeContext(screen), cacArgs, cli))
  }
  cli.version(version)
  cli.help((sections) => sections.map(({ title, body }) => ({ title, body: helpBody(body, screen.streams.columns) })))
  return cli
}

async function runCommand (spec: CommandSpec, ctx: CommandContext, cacArgs: unknown[], cli: CAC): Promise<void> {
  const maxArgs = spec.usage.includes('[...') ? Infinity : spec.usage.split(' ').length - 1
  if (cli.args.length > maxArgs) {
    throw new UsageError(`${commandName(spec)} takes no argument "${cli.args[maxArgs]}"`)
  }
  const args = cacArgs.slice(0, -1).flat().filter((arg) => arg !== undefined).map(String)
  await spec.run(ctx, args, cacArgs.at(-1) as CommonOptions)
}

function unknownCommand (cli: CAC): UsageError {
  const given = cli.args[0]
  if (given === undefined) return new UsageError('no command given')
  return new UsageError(`there is no command "${given}"${suggestion(given, COMMANDS.map(commandName))}`)
}

/** Puts each description below its option if the terminal is too narrow for two columns. */
export function helpBody (body: string, columns: number): string {
  const lines = body.replaceAll('(default: true)', '').split('\n')
  const isWide = lines.every((line) => line.trimEnd().length <= columns)
  if (isWide) return lines.map((line) => line.trimEnd()).join('\n')
  return lines.map((line) => {
    const found = /^( {2}\S(?:\S| (?! ))*) {2,}(\S.*)$/.exec(line)
    return wrapBlock(found ? `${found[1]}\n      ${found[2]!.trimEnd()}` : line, columns)
  }).join('\n')
}

/** Prints the error and the next step to standard error, and with --json also as JSON to standard output. */
function reportError (err: unknown, asJson: boolean, screen: Screen): void {
  const code = isUsageError(err) ? 'usage' : errorCode(err)
  const message = err instanceof Error ? err.message : String(err)
  const next = adviceFor(code)
  const text = `${NAME}: ${message}${next === undefined ? '' : `\n${next}`}`
  const issues = err instanceof ConfigInvalid ? err.issues : undefined
  if (asJson) screen.finishJson({ code, message, ...(next !== undefined && { next }), ...(issues && { issues }) })
  screen.printNotice(text)
}
