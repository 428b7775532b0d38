import type { DescMessage, DescMethodUnary, MessageInitShape, MessageShape } from '@bufbuild/protobuf'
import type { MeshAddress } from '../wire/address.js'

/** Any unary method of the mesh service. */
export type MeshMethod = DescMethodUnary<DescMessage, DescMessage>

export interface TransportHandlers {
  onDatagram (from: MeshAddress, sealed: Uint8Array): void
  /** Answers a call whose code was checked. */
  onCall (method: MeshMethod, req: MessageShape<DescMessage>): Promise<MessageInitShape<DescMessage>>
}

/** Carries datagrams and calls between daemons; calls are authenticated by the transport, datagrams by its user. */
export interface MeshTransport {
  listen (handlers: TransportHandlers): Promise<void>
  send (to: MeshAddress, sealed: Uint8Array): void
  call<I extends DescMessage, O extends DescMessage> (
    to: MeshAddress, method: DescMethodUnary<I, O>, req: MessageInitShape<I>, timeoutMs: number
  ): Promise<MessageShape<O>>
  close (): Promise<void>
}
