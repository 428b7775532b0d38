import { createHmac, timingSafeEqual } from 'node:crypto'
import { MeshUnauthenticated } from '../errors.js'

/** Bytes kept of the HMAC-SHA256; 128 bits are beyond guessing and keep datagrams short. */
export const MAC_BYTES = 16

/** What a code is made for, so that a message of one kind can't be replayed as another. */
export type MacPurpose = 'datagram' | 'request' | 'response'

/** Makes and checks message codes with the mesh key. */
export class MeshAuth {
  readonly #key: Uint8Array

  constructor (key: string | Uint8Array) {
    this.#key = typeof key === 'string' ? new TextEncoder().encode(key) : key
  }

  mac (purpose: MacPurpose, context: string, body: Uint8Array): Uint8Array {
    const hmac = createHmac('sha256', this.#key).update(`${purpose}\n${context}\n`).update(body)
    return hmac.digest().subarray(0, MAC_BYTES)
  }

  check (purpose: MacPurpose, context: string, body: Uint8Array, mac: Uint8Array): void {
    if (mac.length === MAC_BYTES && timingSafeEqual(this.mac(purpose, context, body), mac)) return
    throw new MeshUnauthenticated(`a ${purpose} has no valid code of the mesh key`)
  }

  /** Puts the code in front of a datagram's body. */
  seal (body: Uint8Array): Uint8Array {
    const sealed = new Uint8Array(MAC_BYTES + body.length)
    sealed.set(this.mac('datagram', '', body))
    sealed.set(body, MAC_BYTES)
    return sealed
  }

  open (sealed: Uint8Array): Uint8Array {
    const body = sealed.subarray(MAC_BYTES)
    this.check('datagram', '', body, sealed.subarray(0, MAC_BYTES))
    return body
  }
}
