// Runs all tests and prints their results as TAP. A failed test counts as known if KNOWN-RED.txt lists its title in a
// line `test: TITLE`; any other failure, a test file that times out or ends early, and a listed test that was not run
// make the run fail.
import { spawn } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { Parser } from 'tap-parser'

const listMark = 'test: '

const knownTitles = new Set(readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
  .filter(line => line.startsWith(listMark))
  .map(line => line.slice(listMark.length).trim()))

const runTests = () => new Promise(resolve => {
  const asserts = []
  let results
  const ava = spawn('npx', ['ava', '--tap', ...process.argv.slice(2)], { stdio: ['ignore', 'pipe', 'inherit'] })
  const parser = new Parser(parsed => { results = parsed })
  parser.on('assert', assert => asserts.push(assert))
  ava.stdout.pipe(process.stdout, { end: false })
  ava.stdout.pipe(parser)
  ava.on('close', exitCode => resolve({ exitCode, results, asserts }))
})

const { exitCode, results, asserts } = await runTests()
const failed = asserts.filter(({ ok }) => !ok).map(({ name }) => name)
const known = failed.filter(name => knownTitles.has(name))
const unknown = failed.filter(name => !knownTitles.has(name))
const run = new Set(asserts.map(({ name }) => name))
const notRun = process.argv.length > 2 ? [] : [...knownTitles].filter(title => !run.has(title))
const isIncomplete = asserts.length === 0 || results.bailout !== false ||
  results.plan.end === null || results.plan.end !== asserts.length || (exitCode !== 0 && failed.length === 0)

for (const name of known) console.log(`known failure, listed in KNOWN-RED.txt: ${name}`)
for (const name of unknown) console.log(`FAILED: ${name}`)
for (const title of notRun) console.log(`FAILED: listed in KNOWN-RED.txt, but not run: ${title}`)
if (isIncomplete) console.log('FAILED: the test run did not complete')
console.log(`${asserts.length - failed.length} passed, ${unknown.length} failed`)
process.exitCode = unknown.length + notRun.length > 0 || isIncomplete ? 1 : 0
