/**
 * The record of a script: what was sent, answered and run, with the time since its start, and its verdict.
 */
import { appendFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

/** Exit codes of a script. */
export const verdicts = { held: 0, broken: 1, couldNotRun: 2 }

/** False if the script runs without its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Creates the record in the folder of the script whose URL is given. */
export const createRecord = scriptUrl => {
  const file = fileURLToPath(new URL('record.txt', scriptUrl))
  writeFileSync(file, '')
  const startedAtMs = performance.now()
  const write = text => {
    const line = `${((performance.now() - startedAtMs) / 1000).toFixed(3).padStart(8)} ${text}`
    appendFileSync(file, `${line}\n`)
    console.log(line)
  }
  write(hasTrouble ? 'with the disruption' : 'without the disruption')
  return write
}

/**
 * Runs a script: `play` resolves with a verdict. Ends the process when it has closed what it started, also when it
 * fails, and before the 120 seconds of a script are over.
 */
export const runScript = async (write, play) => {
  const closers = []
  const onClose = close => { closers.unshift(close) }
  const closeAll = async () => { for (const close of closers.splice(0)) await close() }
  const giveUp = async reason => {
    write(reason)
    await closeAll()
    process.exit(verdicts.couldNotRun)
  }
  const watchdog = setTimeout(() => giveUp('the script took too long'), 110_000)
  for (const signal of ['SIGHUP', 'SIGINT', 'SIGTERM']) process.once(signal, () => giveUp(`ended by ${signal}`))
  let verdict = verdicts.couldNotRun
  try {
    verdict = await play(onClose)
  } catch (thrown) {
    write(`the case could not run: ${thrown.stack}`)
  }
  await closeAll()
  clearTimeout(watchdog)
  write(`verdict: ${Object.keys(verdicts).find(name => verdicts[name] === verdict)}`)
  process.exit(verdict)
}
