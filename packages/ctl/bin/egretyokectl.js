#!/usr/bin/env node
import { runCtl } from '../dist/index.js'

const stop = new AbortController()
process.once('SIGINT', () => stop.abort())
process.once('SIGTERM', () => stop.abort())
const output = {
  out: text => process.stdout.write(text),
  err: text => process.stderr.write(text)
}
process.exitCode = await runCtl(process.argv.slice(2), { output, signal: stop.signal })
