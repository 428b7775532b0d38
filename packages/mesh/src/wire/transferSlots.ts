import type { Timers } from '@lentilwheel/core'
import { FULL_TRANSFER_BYTES, FULL_TRANSFER_SLOT_MS, MAX_FULL_TRANSFERS } from '../constants.js'
import type { Packed } from '../gen/mesh_pb.js'

/** Limits the full transfers that run at once, so that many daemons starting together don't overload the peer they ask. */
export class TransferSlots {
  readonly #timers: Timers
  #inUse = 0

  constructor (timers: Timers) {
    this.#timers = timers
  }

  /** Takes a slot for large content and frees it after a fixed time; false when none is free. Small content needs no slot. */
  tryAcquire (content: Packed): boolean {
    if ((content.content.value?.length ?? 0) <= FULL_TRANSFER_BYTES) return true
    if (this.#inUse >= MAX_FULL_TRANSFERS) return false
    this.#inUse++
    this.#timers.after(FULL_TRANSFER_SLOT_MS, () => { this.#inUse-- })
    return true
  }
}
