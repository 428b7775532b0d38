import net from 'node:net'

const INTERVAL_MS = 10

/** Result of a download: how the connection ended, the head, and the number of bytes of the body. */
export async function download ({ ip, port, head, bytesPerMs, deadlineMs, onStart }) {
  const socket = net.connect({ host: ip, port })
  socket.pause()
  socket.write(head)
  let received = ''
  let bytes = 0
  let budget = 0
  const read = () => {
    budget = Math.min(budget + bytesPerMs * INTERVAL_MS, bytesPerMs * 2 * INTERVAL_MS)
    while (budget > 0) {
      const chunk = socket.read(Math.min(socket.readableLength, budget) || undefined)
      if (chunk === null) return
      if (bytes === 0) onStart?.()
      if (!received.includes('\r\n\r\n')) received += chunk.toString('latin1')
      bytes += chunk.length
      budget -= chunk.length
    }
  }
  const reading = setInterval(read, INTERVAL_MS)
  const how = await new Promise((resolve) => {
    setTimeout(() => resolve('deadline'), deadlineMs)
    socket.on('end', () => resolve('end'))
    socket.on('error', (err) => resolve(err.code))
  })
  clearInterval(reading)
  socket.destroy()
  const headEnd = received.indexOf('\r\n\r\n') + 4
  const lines = received.slice(0, Math.max(0, headEnd - 4)).split('\r\n')
  return { how, status: Number(lines[0].split(' ')[1]), headers: lines.slice(1), bodyBytes: bytes - headEnd }
}
