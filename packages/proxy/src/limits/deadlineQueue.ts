/** An item of a DeadlineQueue. */
export interface QueueItem {
  /** Monotonic milliseconds by which the call must end. */
  readonly deadline: number
  /** Position in the heap, set by the queue; -1 while outside of it. */
  queueIndex: number
}

/**
 * Priority queue that yields the earliest deadline first; a binary heap from which items can be removed at any position.
 * The user of the queue limits its size.
 */
export class DeadlineQueue<T extends QueueItem> {
  readonly #heap: T[] = []

  get size (): number {
    return this.#heap.length
  }

  push (item: T): void {
    item.queueIndex = this.#heap.length
    this.#heap.push(item)
    this.#siftUp(item)
  }

  pop (): T | undefined {
    const first = this.#heap[0]
    if (first) this.remove(first)
    return first
  }

  /** Removes an item; does nothing when it isn't in the queue. */
  remove (item: T): void {
    const index = item.queueIndex
    if (index < 0) return
    item.queueIndex = -1
    const last = this.#heap.pop()!
    if (last === item) return
    this.#heap[index] = last
    last.queueIndex = index
    this.#siftUp(last)
    this.#siftDown(last)
  }

  #siftUp (item: T): void {
    while (item.queueIndex > 0) {
      const parent = this.#heap[(item.queueIndex - 1) >> 1]!
      if (parent.deadline <= item.deadline) return
      this.#swap(item, parent)
    }
  }

  #siftDown (item: T): void {
    for (;;) {
      const left = this.#heap[item.queueIndex * 2 + 1]
      const right = this.#heap[item.queueIndex * 2 + 2]
      const child = right && left && right.deadline < left.deadline ? right : left
      if (!child || child.deadline >= item.deadline) return
      this.#swap(item, child)
    }
  }

  #swap (a: T, b: T): void {
    const index = a.queueIndex
    a.queueIndex = b.queueIndex
    b.queueIndex = index
    this.#heap[a.queueIndex] = a
    this.#heap[b.queueIndex] = b
  }
}

/** Expected time until a call behind `ahead` queued calls is done, when `slots` calls run at a time, each for `runMs`. */
export function expectedWaitMs (ahead: number, slots: number, runMs: number): number {
  return slots <= 0 ? Infinity : (ahead + 1) / slots * runMs
}
