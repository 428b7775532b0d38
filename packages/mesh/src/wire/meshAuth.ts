import { createHmac, timingSafeEqual } from 'node:crypto'
import { MeshUnauthenticated } from '../errors.js'

/** Length of the truncated HMAC-SHA256: 128 bits can't be guessed and keep datagrams short. */
export const MAC_BYTES = 16

/** Kind of message that a MAC is made for, so that a message of one kind can't be replayed as another. */
export type MacPurpose = 'datagram' | 'request' | 'response'

/** Computes and verifies the MACs (message authentication codes) of mesh messages with the mesh key. */
export class MeshAuth {
  readonly #key: Uint8Array

  constructor (key: string | Uint8Array) {
    this.#key = typeof key === 'string' ? new TextEncoder().encode(key) : key
  }

  computeMac (purpose: MacPurpose, context: string, body: Uint8Array): Uint8Array {
    const hmac = createHmac('sha256', this.#key).update(`${purpose}\n${context}\n`).update(body)
    return hmac.digest().subarray(0, MAC_BYTES)
  }

  verify (purpose: MacPurpose, context: string, body: Uint8Array, mac: Uint8Array): void {
    if (mac.length === MAC_BYTES && timingSafeEqual(this.computeMac(purpose, context, body), mac)) return
    throw new MeshUnauthenticated(`MAC of the ${purpose} does not match the mesh key`)
  }

  /** Prepends the MAC to the body of a datagram. */
  signDatagram (body: Uint8Array): Uint8Array {
    const signed = new Uint8Array(MAC_BYTES + body.length)
    signed.set(this.computeMac('datagram', '', body))
    signed.set(body, MAC_BYTES)
    return signed
  }

  /** Verifies the MAC of a datagram and returns its body. */
  verifyDatagram (signed: Uint8Array): Uint8Array {
    const body = signed.subarray(MAC_BYTES)
    this.verify('datagram', '', body, signed.subarray(0, MAC_BYTES))
    return body
  }
}
