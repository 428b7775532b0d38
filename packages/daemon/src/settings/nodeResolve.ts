import { readFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import { readSettings, SettingsInvalid } from '@lentilwheel/core'
import { daemonSettingsSchema, MIN_KEY_LENGTH, type ResolvedConfig } from './schema.js'

/** Reads a settings file and the key file it names, which is relative to the settings file. */
export function resolveSettings (file: string): ResolvedConfig {
  const { meshKey, meshKeyFile, ...rest } = readSettings(file, daemonSettingsSchema)
  return { ...rest, meshKey: meshKey ?? readKey(resolve(dirname(file), meshKeyFile!)) }
}

function readKey (file: string): string {
  let key: string
  try {
    key = readFileSync(file, 'utf8').trim()
  } catch (err) {
    throw new SettingsInvalid(`meshKeyFile: cannot read ${file}`, err)
  }
  if (key.length < MIN_KEY_LENGTH) {
    throw new SettingsInvalid(`meshKeyFile: ${file} holds fewer than ${MIN_KEY_LENGTH} characters`)
  }
  return key
}
