/** Urgency of the short messages about others, such as pings and cancellations. */
export const CONTROL_URGENCY = -2
/**
 * Urgency of nested calls, and of news and configurations, which may be long. Other requests have the priority of their caller's
 * workspace or of their route as urgency, which starts at 0; lower is more urgent.
 */
export const NESTED_URGENCY = -1

/** Urgency of a request, by whether another request waits for it and by its priority. */
export function urgencyOf ({ nested, priority }: { nested: boolean, priority: number }): number {
  return nested ? NESTED_URGENCY : priority
}
