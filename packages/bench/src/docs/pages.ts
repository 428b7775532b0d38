import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { cliSettingsSchema, columnSchema, COMMANDS, COMMON_OPTIONS, REPORT_FIELDS, type OptionSpec } from '@lentilwheel/cli'
import { moveSchema, routeSchema, serviceSchema } from '@lentilwheel/config'
import { daemonSettingsSchema } from '@lentilwheel/daemon'
import { errorTable, findErrorClasses } from './errorTable.js'
import { fieldTable, markdownTable } from './reference.js'

const rootDir = new URL('../../../../', import.meta.url)
export const packagesDir = fileURLToPath(new URL('packages/', rootDir))

export const PAGES = ['operators.md', 'errors.md'] as const
export type PageName = typeof PAGES[number]

/** What stands between the marks of each generated section; gets what stands there now. */
const SECTION_GENERATORS: Readonly<Record<string, (current: string) => string>> = {
  commands: commandTable,
  services: () => fieldTable(serviceSchema),
  routes: () => fieldTable(routeSchema),
  moves: () => fieldTable(moveSchema),
  daemonSettings: () => fieldTable(daemonSettingsSchema),
  cliSettings: () => fieldTable(cliSettingsSchema),
  columns: () => fieldTable(columnSchema),
  reportFields: () => markdownTable(['Report', 'Fields'], Object.entries(REPORT_FIELDS)
    .map(([report, fields]) => [`\`${report}\``, fields.map((field) => `\`${field}\``).join(', ')])),
  errors: (current) => errorTable(findErrorClasses(packagesDir), current)
}

function commandTable (): string {
  const words = (options: readonly OptionSpec[]): string => options.map(({ flags }) => `\`${flags}\``).join(', ')
  const rows = COMMANDS.map(({ usage, description, options = [] }) => [`\`${usage}\``, description, words(options)])
  return `${markdownTable(['Command', 'What it does', 'Options'], rows)}\n\nEvery command takes ${words(COMMON_OPTIONS)}.`
}

export function pagePath (name: PageName): string {
  return fileURLToPath(new URL(`docs/${name}`, rootDir))
}

export function readPage (name: PageName): string {
  return readFileSync(pagePath(name), 'utf8')
}

const SECTION = /(<!-- generated: (\w+) -->\n)([^]*?)(<!-- end -->)/g

/** The page with each generated section made anew. */
export function regeneratePage (page: string): string {
  return page.replace(SECTION, (_whole, start: string, name: string, current: string, end: string) => {
    const make = SECTION_GENERATORS[name]
    if (!make) throw new Error(`no generated section is called "${name}"`)
    return `${start}${make(current)}\n${end}`
  })
}
