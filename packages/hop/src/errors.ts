import { LentilwheelError } from '@lentilwheel/core'

/** A peer sent something that isn't a message of the protocol between daemons. */
export class BadMessage extends LentilwheelError {
  readonly code = 'bad-message'
}

/** A peer can't be reached or stopped answering. */
export class PeerLost extends LentilwheelError {
  readonly code = 'peer-lost'
}

/** The store can't be reached or refuses calls for now. */
export class StoreAway extends LentilwheelError {
  readonly code = 'store-away'
}

/** The store no longer has the history that a watch asked for. */
export class HistoryGone extends LentilwheelError {
  readonly code = 'history-gone'
}

/** The object isn't at the revision that a write was conditional on. */
export class RevisionConflict extends LentilwheelError {
  readonly code = 'revision-conflict'
}

/** The answer to a write was lost: it may have taken effect, or may do so later. */
export class WriteUnknown extends LentilwheelError {
  readonly code = 'write-unknown'
}
