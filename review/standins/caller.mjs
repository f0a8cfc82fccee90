/**
 * A client's session over the wire protocol: one request at a time.
 */
import { connect } from 'node:net'

/** Connects and sends START; resolves with the session, or with undefined when it is refused or lost. */
export const openSession = (address, database, key, timeoutMs = 2000) => new Promise(resolve => {
  const [host, port] = address.split(':')
  const socket = connect({ host, port: Number(port), noDelay: true })
  let rest = ''
  let answer = { rows: [] }
  let settle
  let isOpen = true

  const finish = result => {
    const waiting = settle
    settle = undefined
    waiting?.(result)
  }
  const end = () => {
    if (!isOpen) return
    isOpen = false
    socket.destroy()
    finish({ ...answer, lost: true })
  }
  const onLine = line => {
    const [word, first = '', ...others] = line.split(' ')
    if (word === 'ROW') answer.rows.push(line.slice(4))
    if (word === 'COMPLETE') answer.signature = first
    if (word === 'ERROR') answer.error = `${first} ${others.join(' ')}`
    if (word !== 'READY') return
    const result = { ...answer, state: first }
    answer = { rows: [] }
    finish(result)
  }
  const send = (line, limitMs) => new Promise(resolve => {
    if (!isOpen) return resolve({ rows: [], lost: true })
    const timer = setTimeout(end, limitMs)
    settle = result => {
      clearTimeout(timer)
      resolve(result)
    }
    socket.write(`${line}\r\n`)
  })
  socket.on('data', chunk => {
    const lines = (rest + chunk).split('\r\n')
    rest = lines.pop()
    for (const line of lines) onLine(line)
  })
  socket.on('error', end)
  socket.on('close', end)

  send(`START ${database} ${key}`, timeoutMs).then(result => {
    if (result.lost || result.error !== undefined) {
      end()
      return resolve(undefined)
    }
    resolve({
      /** Sends a statement; `lost` is set if the connection ended or no answer came in time. */
      query: (id, text, limitMs = 5000) => send(`QUERY ${id} ${text}`, limitMs),
      isOpen: () => isOpen,
      close: end
    })
  })
})
