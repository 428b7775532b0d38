import type { Timers } from '@lentilwheel/core'
import { FULL_TRANSFER_BYTES, FULL_TRANSFER_MS, MAX_FULL_TRANSFERS } from '../constants.js'
import type { Packed } from '../gen/mesh_pb.js'

/** Lets few full transfers run at once, so that a herd of starting daemons does not exhaust the one they ask. */
export class TransferSlots {
  readonly #timers: Timers
  #taken = 0

  constructor (timers: Timers) {
    this.#timers = timers
  }

  /** False when the content is large and all slots are taken. */
  admits (content: Packed): boolean {
    if ((content.content.value?.length ?? 0) <= FULL_TRANSFER_BYTES) return true
    if (this.#taken >= MAX_FULL_TRANSFERS) return false
    this.#taken++
    this.#timers.after(FULL_TRANSFER_MS, () => { this.#taken-- })
    return true
  }
}
