import { LentilwheelError } from '@lentilwheel/core'

/** A call to a peer failed: no valid answer came in time, or the connection was closed. */
export class MeshPeerUnreachable extends LentilwheelError {
  readonly code = 'mesh-peer-unreachable'
}

/** A message carries no valid MAC (message authentication code) made with the mesh key. */
export class MeshUnauthenticated extends LentilwheelError {
  readonly code = 'mesh-unauthenticated'
}

/** A message exceeds the size limit of datagrams or calls. */
export class MeshMessageTooLarge extends LentilwheelError {
  readonly code = 'mesh-message-too-large'
}

/** A message from a peer can't be decoded or has invalid values. */
export class MeshBadMessage extends LentilwheelError {
  readonly code = 'mesh-bad-message'
}

/** Peers exceed the rate of calls that this daemon accepts. */
export class MeshOverloaded extends LentilwheelError {
  readonly code = 'mesh-overloaded'
}

/** No member of the mesh has the given id. */
export class MeshMemberUnknown extends LentilwheelError {
  readonly code = 'mesh-member-unknown'
}
