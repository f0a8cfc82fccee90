/**
 * A caller's session over the wire protocol of the pages.
 */
import { connect } from 'node:net'

/** Opens a connection; `send` sends one line and resolves with the answer up to READY, or with how it ended. */
export const openCaller = (host, port, { keepRows = true } = {}) => {
  const socket = connect({ host, port, noDelay: true })
  let received = ''
  let answer = { rows: [], code: '', text: '' }
  let finish
  let isClosed = false

  const settle = ending => {
    const resolve = finish
    const done = { ...answer, ...ending }
    answer = { rows: [], code: '', text: '' }
    finish = undefined
    resolve?.(done)
  }
  const take = line => {
    const [word, first = '', ...rest] = line.split(' ')
    if (word === 'ROW' && keepRows) answer.rows.push(line.slice('ROW '.length))
    else if (word === 'COMPLETE') Object.assign(answer, { code: 'COMPLETE', text: [first, ...rest].join(' ') })
    else if (word === 'ERROR') Object.assign(answer, { code: first, text: rest.join(' ') })
    else if (word === 'READY') settle({ state: first })
  }
  socket.on('data', chunk => {
    received += chunk.toString('latin1')
    const lines = received.split('\r\n')
    received = lines.pop()
    for (const line of lines) take(line)
  })
  socket.on('error', () => {})
  socket.on('close', () => {
    isClosed = true
    settle({ state: 'closed' })
  })

  const send = (line, timeoutMs = 8000) => new Promise(resolve => {
    const timer = setTimeout(() => settle({ state: 'noAnswer' }), timeoutMs)
    finish = done => {
      clearTimeout(timer)
      resolve(done)
    }
    if (isClosed) settle({ state: 'closed' })
    else socket.write(`${line}\r\n`)
  })
  return { send, isClosed: () => isClosed, close: () => socket.destroy(), socket }
}

/** Opens a session; undefined if it is refused. */
export const openSession = async (host, port, database, key, options) => {
  const caller = openCaller(host, port, options)
  const started = await caller.send(`START ${database} ${key}`)
  if (started.state === 'I' && started.code === '') return caller
  caller.close()
  return undefined
}
