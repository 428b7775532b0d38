import { parseSettings } from '@lentilwheel/core'
import { z } from 'zod'
import { UsageError } from './errors.js'

export const SETTINGS_FILE = 'lentilwheel.yaml'
export const PLATFORM_VARIABLE = 'LENTILWHEEL_PLATFORM'

/** Settings of the command line, read from `lentilwheel.yaml` in the working directory. */
export const cliSettingsSchema = z.strictObject({
  platform: z.url({ protocol: /^https?$/ }).optional().describe('Base address of the platform\'s object API'),
  layout: z.string().min(1).optional().describe('Layout file of the reports')
})

export type CliSettings = z.output<typeof cliSettingsSchema>

/** Parses the settings file; `text` is undefined if there is none. */
export function parseCliSettings (text: string | undefined): CliSettings {
  return text === undefined ? {} : parseSettings(text, SETTINGS_FILE, cliSettingsSchema)
}

/** Address of the platform: from the option, or the environment, or the settings file. */
export function platformAddress (
  option: string | undefined, env: Readonly<Record<string, string | undefined>>, settings: CliSettings
): string {
  const fromEnv = env[PLATFORM_VARIABLE] === '' ? undefined : env[PLATFORM_VARIABLE]
  const address = option ?? fromEnv ?? settings.platform
  if (address === undefined) {
    throw new UsageError(`no platform address: give --platform <url>, set ${PLATFORM_VARIABLE} or write ` +
      `"platform: <url>" into ${SETTINGS_FILE}`)
  }
  const source = option !== undefined ? '--platform' : PLATFORM_VARIABLE
  if (!isHttpUrl(address)) throw new UsageError(`${source}: "${address}" is not an address such as http://10.0.0.5:8090`)
  return address
}

function isHttpUrl (text: string): boolean {
  return URL.canParse(text) && /^https?:$/.test(new URL(text).protocol)
}
