/** What waits in a queue; `queueIndex` belongs to the queue, -1 while outside of it. */
export interface Waiting {
  /** Monotonic milliseconds by which the call must end. */
  readonly deadline: number
  queueIndex: number
}

/** Bounded queue that yields the earliest deadline first; a binary heap with removal in the middle. */
export class DeadlineQueue<T extends Waiting> {
  readonly #heap: T[] = []

  get size (): number {
    return this.#heap.length
  }

  push (item: T): void {
    item.queueIndex = this.#heap.length
    this.#heap.push(item)
    this.#up(item)
  }

  pop (): T | undefined {
    const first = this.#heap[0]
    if (first) this.remove(first)
    return first
  }

  /** Takes an item out; does nothing when it isn't in the queue. */
  remove (item: T): void {
    const index = item.queueIndex
    if (index < 0) return
    item.queueIndex = -1
    const last = this.#heap.pop()!
    if (last === item) return
    this.#heap[index] = last
    last.queueIndex = index
    this.#up(last)
    this.#down(last)
  }

  #up (item: T): void {
    while (item.queueIndex > 0) {
      const parent = this.#heap[(item.queueIndex - 1) >> 1]!
      if (parent.deadline <= item.deadline) return
      this.#swap(item, parent)
    }
  }

  #down (item: T): void {
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

/** Expected wait behind `ahead` calls when `slots` run at a time, each for `runMs`. */
export function expectedWaitMs (ahead: number, slots: number, runMs: number): number {
  return slots <= 0 ? Infinity : (ahead + 1) / slots * runMs
}
