import { LentilwheelError } from '@lentilwheel/core'

/** A peer did not answer a call in time or closed the connection. */
export class MeshPeerUnreachable extends LentilwheelError {
  readonly code = 'mesh-peer-unreachable'
}

/** A message does not carry a valid code made with the mesh key. */
export class MeshUnauthenticated extends LentilwheelError {
  readonly code = 'mesh-unauthenticated'
}

/** A message is larger than its channel allows. */
export class MeshMessageTooLarge extends LentilwheelError {
  readonly code = 'mesh-message-too-large'
}

/** A message of a peer can't be decoded or has impossible values. */
export class MeshBadMessage extends LentilwheelError {
  readonly code = 'mesh-bad-message'
}

/** A peer sends more than this daemon takes in. */
export class MeshOverloaded extends LentilwheelError {
  readonly code = 'mesh-overloaded'
}

/** No daemon of this id is known. */
export class MeshMemberUnknown extends LentilwheelError {
  readonly code = 'mesh-member-unknown'
}
