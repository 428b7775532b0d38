import type { HeaderNames } from '../inbound/targetResult.js'

/** Header names of the tests; their values differ from those of any platform. */
export const TEST_HEADERS: HeaderNames = {
  requestId: 'x-id',
  deadline: 'x-deadline',
  expectedTarget: 'x-expected',
  notRun: 'x-not-run',
  load: 'x-load',
  limit: 'x-limit',
  leaving: 'x-leaving',
  callerService: 'x-caller',
  signature: 'x-sig'
}
