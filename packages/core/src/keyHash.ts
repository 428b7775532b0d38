import { hash } from 'node:crypto'

/** SHA-256 of a workspace's key in base64, the only form in which keys are kept. `latin1`: the key as the HTTP parser decodes it. */
export function keyHash (key: string, encoding: 'utf8' | 'latin1' = 'utf8'): string {
  return hash('sha256', encoding === 'utf8' ? key : Buffer.from(key, encoding), 'base64')
}
