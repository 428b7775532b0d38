import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { cliSettingsSchema, columnSchema, COMMANDS, COMMON_OPTIONS, REPORT_FIELDS, type OptionSpec } from '@lentilwheel/cli'
import { moveSchema, routeSchema, serviceSchema } from '@lentilwheel/config'
import { daemonSettingsSchema } from '@lentilwheel/daemon'
import { errorTable, findErrorClasses } from './errorTable.js'
import { fieldTable, markdownTable } from './reference.js'

const rootDir = new URL('../../../../', import.meta.url)
/** Directory with the sources of all packages. */
export const packagesDir = fileURLToPath(new URL('packages/', rootDir))

/** Pages with generated sections. */
export const PAGES = ['operators.md', 'errors.md'] as const
export type PageName = typeof PAGES[number]

/** Generates the text of each section; gets the current text. */
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
  const flagList = (options: readonly OptionSpec[]): string => options.map(({ flags }) => `\`${flags}\``).join(', ')
  const rows = COMMANDS.map(({ usage, description, options = [] }) => [`\`${usage}\``, description, flagList(options)])
  return `${markdownTable(['Command', 'What it does', 'Options'], rows)}\n\nEvery command takes ${flagList(COMMON_OPTIONS)}.`
}

export function pagePath (name: PageName): string {
  return fileURLToPath(new URL(`docs/${name}`, rootDir))
}

export function readPage (name: PageName): string {
  return readFileSync(pagePath(name), 'utf8')
}

const SECTION = /(<!-- generated: (\w+) -->\n)([^]*?)(<!-- end -->)/g

/** Returns the page with its generated sections replaced, those between `<!-- generated: NAME -->` and `<!-- end -->`. */
export function regeneratePage (page: string): string {
  return page.replace(SECTION, (_whole, start: string, name: string, current: string, end: string) => {
    const generate = SECTION_GENERATORS[name]
    if (!generate) throw new Error(`no generated section is called "${name}"`)
    return `${start}${generate(current)}\n${end}`
  })
}
