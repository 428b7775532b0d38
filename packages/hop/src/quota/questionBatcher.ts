import { MAX_QUOTA_QUESTIONS, type QuotaAnswer, type QuotaMessage, type QuotaMode, type QuotaQuestion } from '../link/messages.js'

/** Gets the answer to one question; undefined if the message or its reply was lost. */
export type OnAnswer = (answer: QuotaAnswer | undefined) => void

export interface QuestionBatcherOptions {
  /** Calls `fn` once the events at hand have been handled. */
  defer (fn: () => void): void
  /** Sends a message; calls `done` once, with undefined if there will be no reply. */
  send (host: string, message: QuotaMessage, done: (answers: readonly QuotaAnswer[] | undefined) => void): void
}

interface Batch {
  readonly host: string
  readonly mode: QuotaMode
  readonly questions: QuotaQuestion[]
  readonly onAnswers: OnAnswer[]
}

/** Sends the questions for one host that come up at about the same time in one message. */
export class QuestionBatcher {
  readonly #opts: QuestionBatcherOptions
  #batches: Batch[] = []
  /** Messages sent so far. */
  messages = 0

  constructor (opts: QuestionBatcherOptions) {
    this.#opts = opts
  }

  add (host: string, question: QuotaQuestion, mode: QuotaMode, onAnswer: OnAnswer): void {
    let batch = this.#batches.find((other) => other.host === host && other.mode === mode && other.questions.length < MAX_QUOTA_QUESTIONS)
    if (!batch) {
      batch = { host, mode, questions: [], onAnswers: [] }
      if (this.#batches.length === 0) this.#opts.defer(() => this.#flush())
      this.#batches.push(batch)
    }
    batch.questions.push(question)
    batch.onAnswers.push(onAnswer)
  }

  #flush (): void {
    const batches = this.#batches
    this.#batches = []
    for (const { host, mode, questions, onAnswers } of batches) {
      this.messages++
      this.#opts.send(host, { mode, questions }, (answers) => {
        for (const [i, onAnswer] of onAnswers.entries()) onAnswer(answers?.[i])
      })
    }
  }
}
