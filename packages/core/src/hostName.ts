/** Host name of a Host header, without port and in lower case; IPv6 literals keep their brackets. */
export function hostName (hostHeader: string): string {
  const colon = hostHeader.lastIndexOf(':')
  const name = colon > hostHeader.lastIndexOf(']') ? hostHeader.slice(0, colon) : hostHeader
  return name.toLowerCase()
}
