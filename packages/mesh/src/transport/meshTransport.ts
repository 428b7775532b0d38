import type { DescMessage, DescMethodUnary, MessageInitShape, MessageShape } from '@bufbuild/protobuf'
import type { MeshAddress } from '../wire/address.js'

/** A unary method of the mesh service. */
export type MeshMethod = DescMethodUnary<DescMessage, DescMessage>

/** Handlers of what other daemons send. */
export interface TransportHandlers {
  /** Handles a datagram, whose MAC is not verified yet. */
  onDatagram (from: MeshAddress, signed: Uint8Array): void
  /** Answers a call, whose MAC is verified already. */
  onCall (method: MeshMethod, req: MessageShape<DescMessage>): Promise<MessageInitShape<DescMessage>>
}

/** Carries datagrams and calls between daemons. The transport authenticates calls; datagrams are signed and verified by `Messenger`. */
export interface MeshTransport {
  listen (handlers: TransportHandlers): Promise<void>
  send (to: MeshAddress, signed: Uint8Array): void
  call<I extends DescMessage, O extends DescMessage> (
    to: MeshAddress, method: DescMethodUnary<I, O>, req: MessageInitShape<I>, timeoutMs: number
  ): Promise<MessageShape<O>>
  close (): Promise<void>
}
