import { BadMessage } from '../errors.js'
import { MAX_REACH_HOSTS } from '../quota/reachSample.js'
import { MAX_QUOTA_COUNT, MAX_QUOTA_QUESTIONS, QUOTA_MODES, type QuotaAnswer, type QuotaMessage, type QuotaQuestion } from './messages.js'

// Messages about quotas are the most frequent ones after calls, so their fields are sent by position without names.

const MAX_NAME_LENGTH = 256
/** Longest time to wait that an answer may state, in milliseconds. */
const MAX_WAIT_MS = 60_000
const ANSWER_KINDS = ['lent', 'settling', 'notLender'] as const satisfies readonly QuotaAnswer['kind'][]

export function packQuotaMessage ({ mode, questions }: QuotaMessage): unknown[] {
  return [QUOTA_MODES.indexOf(mode), ...questions.map(({ workspace, count, ratePerS, burst, isRepeat }) => [workspace, count, ratePerS, burst, isRepeat])]
}

export function unpackQuotaMessage (value: unknown): QuotaMessage {
  if (!Array.isArray(value) || value.length < 2 || value.length > MAX_QUOTA_QUESTIONS + 1) throw new BadMessage('quota message from a peer has another number of questions')
  const [modeIndex, ...questions] = value as unknown[]
  const mode = typeof modeIndex === 'number' ? QUOTA_MODES[modeIndex] : undefined
  if (!mode) throw new BadMessage('quota message from a peer has an unknown mode')
  return { mode, questions: questions.map(unpackQuestion) }
}

export function packQuotaAnswers (answers: readonly QuotaAnswer[]): unknown[] {
  return answers.map((answer) => [ANSWER_KINDS.indexOf(answer.kind), answer.kind === 'lent' ? answer.count : 0, answer.kind === 'notLender' ? 0 : answer.waitMs])
}

/** Reads the answers to the questions of a message. */
export function unpackQuotaAnswers (value: unknown, questions: readonly QuotaQuestion[]): QuotaAnswer[] {
  if (!Array.isArray(value) || value.length !== questions.length) throw new BadMessage('quota reply from a peer has another number of answers')
  return value.map((entry, i) => unpackAnswer(entry, questions[i]!))
}

/** Reads the hosts of a question about which of them can be reached. */
export function unpackReachHosts (value: unknown): string[] {
  if (!Array.isArray(value) || value.length > MAX_REACH_HOSTS || !value.every((host) => typeof host === 'string')) throw new BadMessage('question about hosts from a peer is no short list of names')
  return value as string[]
}

/** Reads the reply to such a question. */
export function unpackReached (value: unknown, count: number): boolean[] {
  if (!Array.isArray(value) || value.length !== count || !value.every((reached) => typeof reached === 'boolean')) throw new BadMessage('reply about hosts from a peer is no list of the expected length')
  return value as boolean[]
}

function unpackQuestion (value: unknown): QuotaQuestion {
  if (!Array.isArray(value) || value.length !== 5) throw new BadMessage('quota question from a peer has another number of fields')
  const [workspace, count, ratePerS, burst, isRepeat] = value as unknown[]
  if (typeof workspace !== 'string' || workspace === '' || workspace.length > MAX_NAME_LENGTH) throw new BadMessage('quota question from a peer has an invalid workspace')
  if (!isCount(count) || count === 0) throw new BadMessage('quota question from a peer has an invalid count')
  if (!isAmount(ratePerS) || ratePerS === 0 || !isAmount(burst)) throw new BadMessage('quota question from a peer has an invalid limit')
  if (typeof isRepeat !== 'boolean') throw new BadMessage('quota question from a peer does not say who asks')
  return { workspace, count, ratePerS, burst, isRepeat }
}

function unpackAnswer (value: unknown, question: QuotaQuestion): QuotaAnswer {
  if (!Array.isArray(value) || value.length !== 3) throw new BadMessage('quota answer from a peer has another number of fields')
  const [kindIndex, count, waitMs] = value as unknown[]
  const kind = typeof kindIndex === 'number' ? ANSWER_KINDS[kindIndex] : undefined
  if (!kind || !isCount(count) || count > question.count || !isAmount(waitMs) || waitMs > MAX_WAIT_MS) throw new BadMessage('quota answer from a peer has an invalid field')
  switch (kind) {
    case 'lent': return { kind, count, waitMs }
    case 'settling': return { kind, waitMs }
    case 'notLender': return { kind }
  }
}

function isCount (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0 && (value as number) <= MAX_QUOTA_COUNT
}

function isAmount (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}
