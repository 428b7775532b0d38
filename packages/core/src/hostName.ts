/** Host header without its port, in lower case; IPv6 literals keep their brackets. */
export function hostName (value: string): string {
  const colon = value.lastIndexOf(':')
  const name = colon > value.lastIndexOf(']') ? value.slice(0, colon) : value
  return name.toLowerCase()
}
