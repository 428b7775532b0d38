import { request } from 'undici'
import type { Probe } from './targetApp.js'

const PROBE_TIMEOUT_MS = 1_000
const MAX_RESPONSE_CHARS = 1_000

/** Requests the health and load endpoints of targets over HTTP. */
export const httpProbe: Probe = async (endpoint, path) => {
  const res = await request(`http://${endpoint.address}:${endpoint.port}${path}`, {
    headersTimeout: PROBE_TIMEOUT_MS,
    bodyTimeout: PROBE_TIMEOUT_MS,
    signal: AbortSignal.timeout(PROBE_TIMEOUT_MS)
  })
  const body = await res.body.text()
  return { status: res.statusCode, body: body.slice(0, MAX_RESPONSE_CHARS) }
}
