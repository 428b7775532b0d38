import { MeshBadMessage } from '../errors.js'

/** Address at which a daemon receives datagrams and calls: `<IPv4>:<port>`. */
export type MeshAddress = string

/** 4 bytes of IPv4 address and 2 of port. */
const ADDRESS_BYTES = 6

export function ipToNumber (ip: string): number {
  const parts = ip.split('.').map(Number)
  if (parts.length !== 4 || parts.some((part) => !(part >= 0 && part <= 255))) {
    throw new MeshBadMessage(`"${ip}" is not an IPv4 address`)
  }
  return parts.reduce((sum, part) => sum * 256 + part, 0)
}

export function numberToIp (n: number): string {
  return `${n >>> 24}.${(n >>> 16) & 255}.${(n >>> 8) & 255}.${n & 255}`
}

export function meshAddress (ip: number, port: number): MeshAddress {
  return `${numberToIp(ip)}:${port}`
}

export function parseAddress (address: MeshAddress): { ip: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { ip: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}

/** Packs the members delegated to a receiver of a push, as addresses: it can send to them without looking them up. */
export function packAddresses (addresses: readonly MeshAddress[]): Uint8Array {
  const bytes = new Uint8Array(addresses.length * ADDRESS_BYTES)
  const view = new DataView(bytes.buffer)
  addresses.forEach((address, index) => {
    const { ip, port } = parseAddress(address)
    view.setUint32(index * ADDRESS_BYTES, ipToNumber(ip))
    view.setUint16(index * ADDRESS_BYTES + 4, port)
  })
  return bytes
}

export function unpackAddresses (bytes: Uint8Array): MeshAddress[] {
  if (bytes.length % ADDRESS_BYTES !== 0) throw new MeshBadMessage('length of the delegated list is not a multiple of 6 bytes')
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.length)
  const addresses: MeshAddress[] = []
  for (let at = 0; at < bytes.length; at += ADDRESS_BYTES) {
    addresses.push(meshAddress(view.getUint32(at), view.getUint16(at + 4)))
  }
  return addresses
}

/** Bytes that `count` packed addresses take. */
export function packedAddressBytes (count: number): number {
  return count * ADDRESS_BYTES
}
