/** Urgency of the messages that hold the fleet together, such as pings, cancellations and news. */
export const CONTROL_URGENCY = -2
/** Urgency of nested calls. Other requests have the priority of their route as urgency, which starts at 0; lower is more urgent. */
export const NESTED_URGENCY = -1

/** Urgency of a request, by whether another request waits for it and by the priority of its route. */
export function urgencyOf ({ nested, priority }: { nested: boolean, priority: number }): number {
  return nested ? NESTED_URGENCY : priority
}
