import { UsageError } from '../errors.js'
import type { CommandSpec, OptionSpec } from './commandTable.js'

/** Generates the completion script for bash or zsh from the command table. */
export function completionScript (
  shell: string, commands: readonly CommandSpec[], common: readonly OptionSpec[]
): string {
  if (shell === 'bash') return bashScript(commands, common)
  if (shell === 'zsh') return `#compdef lentilwheel\nautoload -U +X bashcompinit && bashcompinit\n${bashScript(commands, common)}`
  throw new UsageError(`"${shell}" is not a known shell; there are bash and zsh`)
}

function bashScript (commands: readonly CommandSpec[], common: readonly OptionSpec[]): string {
  const names = commands.map(commandName)
  const cases = commands.map((command) => {
    const options = [...command.options ?? [], ...common].map(optionName)
    const words = [...command.argumentValues ?? [], ...options, '--help'].join(' ')
    return `    ${commandName(command)}) words="${words}" ;;`
  })
  return `_lentilwheel () {
  local current="\${COMP_WORDS[COMP_CWORD]}" previous="\${COMP_WORDS[COMP_CWORD-1]}" words
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "${names.join(' ')} --help --version" -- "$current"))
    return
  fi
  case "$previous$current" in
    check-*|apply-*) ;;
    --layout*|--html*|check*|apply*) COMPREPLY=($(compgen -f -- "$current")); return ;;
  esac
  case "\${COMP_WORDS[1]}" in
${cases.join('\n')}
  esac
  COMPREPLY=($(compgen -W "$words" -- "$current"))
}
complete -F _lentilwheel lentilwheel
`
}

export function commandName (command: CommandSpec): string {
  return command.usage.split(' ')[0]!
}

function optionName (option: OptionSpec): string {
  return option.flags.split(' ')[0]!
}
