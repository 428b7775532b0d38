import test from 'ava'
import { COMMANDS } from '../commands/commandTable.js'
import { commandName } from '../commands/completion.js'
import { CliHarness } from './cliHarness.js'

/** Captures console.log, by which cac prints help texts. */
async function helpOf (args: readonly string[], columns: number): Promise<string> {
  const cli = new CliHarness()
  cli.streams = { columns }
  const { log } = console
  const lines: string[] = []
  console.log = (text: string) => { lines.push(text) }
  try {
    await cli.run(...args, '--help')
  } finally {
    console.log = log
  }
  return lines.join('\n')
}

/** Guards against commands without an example and against help lines that a narrow terminal breaks. */
test.serial('each command has help with an example that fits 40 columns', async (t) => {
  for (const command of COMMANDS) {
    const text = await helpOf([commandName(command)], 40)
    t.deepEqual(text.split('\n').filter((line) => line.length > 40), [], command.usage)
    t.true(text.includes('Examples:'), command.usage)
  }
  t.snapshot(await helpOf(['apply'], Infinity))
  t.snapshot(await helpOf(['apply'], 40))
})

test('completion scripts name every command and its options', async (t) => {
  t.snapshot((await new CliHarness().run('completion', 'bash')).out)
  t.true((await new CliHarness().run('completion', 'zsh')).out.startsWith('#compdef lentilwheel\n'))
})
