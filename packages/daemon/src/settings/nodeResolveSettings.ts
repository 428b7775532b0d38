import { readFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import { readSettings, SettingsInvalid } from '@lentilwheel/core'
import { daemonSettingsSchema, MIN_MESH_KEY_LENGTH, type ResolvedConfig } from './schema.js'

/** Reads a settings file and the mesh key file that it names, whose path is relative to the settings file. */
export function resolveSettings (file: string): ResolvedConfig {
  const { meshKey, meshKeyFile, ...rest } = readSettings(file, daemonSettingsSchema)
  return { ...rest, meshKey: meshKey ?? readMeshKey(resolve(dirname(file), meshKeyFile!)) }
}

function readMeshKey (file: string): string {
  let key: string
  try {
    key = readFileSync(file, 'utf8').trim()
  } catch (err) {
    throw new SettingsInvalid(`meshKeyFile: cannot read ${file}`, err)
  }
  if (key.length < MIN_MESH_KEY_LENGTH) {
    throw new SettingsInvalid(`meshKeyFile: ${file} has fewer than ${MIN_MESH_KEY_LENGTH} characters`)
  }
  return key
}
