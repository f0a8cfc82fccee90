/**
 * Reading documents from arbitrary and corrupted texts: the reader never throws, and its work is bounded.
 */
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import fc from 'fast-check'
import { maxDocumentBytes } from '@egretyoke/common'
import type { DocumentTexts } from './document-checks.js'
import { documentNames } from './documents.js'
import { readDocuments } from './read-documents.js'

const folder = fileURLToPath(new URL('../../../examples/modhafen/', import.meta.url))
const textOf = (name: string) => readFileSync(`${folder}${name}.jsonc`, 'utf8')
const originals: DocumentTexts = Object.fromEntries(documentNames.map(name =>
  [name, { file: name, text: textOf(name) }])) as DocumentTexts

const documentNameArbitrary = fc.constantFrom(...documentNames)
const fuzzSeed = 20261204
const maxReportedFindings = 1000

const isReadSafely = (name: string, text: string): boolean => {
  const read = readDocuments({ ...originals, [name]: { file: name, text } }, 1)
  if (read.ok) return true
  const lines = text.split('\n').length
  const isInText = (line: number, file: string) => line >= 1 && (file !== name || line <= lines)
  return read.val.length > 0 && read.val.length <= maxReportedFindings &&
    read.val.every(finding => isInText(finding.line, finding.file) && finding.column >= 1)
}

test('arbitrary text does not make the reader throw', t => {
  fc.assert(fc.property(documentNameArbitrary, fc.string({ unit: 'binary', maxLength: 2000 }), isReadSafely),
    { seed: fuzzSeed, numRuns: 800 })
  t.pass()
})

test('arbitrary JSON does not make the reader throw', t => {
  const json = fc.jsonValue({ maxDepth: 8, depthSize: 'large' }).map(value => JSON.stringify(value))
  fc.assert(fc.property(documentNameArbitrary, json, isReadSafely), { seed: fuzzSeed, numRuns: 400 })
  t.pass()
})

test('corrupted documents do not make the reader throw', t => {
  const damage = fc.record({
    from: fc.nat(),
    length: fc.nat(40),
    text: fc.oneof(fc.string({ maxLength: 20 }), fc.constantFrom('{', '}', '[', ']', '"', ',', '/*', 'null', '1e999'))
  })
  const damaged = fc.tuple(documentNameArbitrary, fc.array(damage, { minLength: 1, maxLength: 4 }))
  fc.assert(fc.property(damaged, ([name, damages]) => {
    let { text } = originals[name]
    for (const { from, length, text: inserted } of damages) {
      const start = from % text.length
      text = text.slice(0, start) + inserted + text.slice(start + length)
    }
    return isReadSafely(name, text)
  }), { seed: fuzzSeed, numRuns: 400 })
  t.pass()
})

const fill = (unit: string, bytes = maxDocumentBytes) => unit.repeat(Math.floor(bytes / unit.length))

for (const [title, text] of Object.entries({
  'nested arrays': fill('['),
  'nested and closed arrays': fill('[', 4000) + fill(']', 4000),
  'nested objects': fill('{"a":'),
  'unknown fields': `{ ${Array.from({ length: 60_000 }, (_, index) => `"x${index}": 1`).join(',')} }`,
  'wrong entries': `{ "profiles": { ${Array.from({ length: 60_000 }, (_, index) => `"x${index}": 1`).join(',')} } }`,
  'the same field': `{ ${fill('"a":1,', 500_000)} "b": 1 }`,
  'syntax errors on many lines': fill('?\n'),
  'one long line of syntax errors': fill('? '),
  'line breaks': fill('\n'),
  comments: fill('/**/'),
  'too many bytes': fill(' ', maxDocumentBytes + 10)
})) {
  test(`a megabyte of ${title} does not make the reader throw`, t => {
    t.timeout(60_000)
    const startedMs = process.cpuUsage().user / 1000
    t.true(isReadSafely('profiles', text))
    t.log(`${Math.round(process.cpuUsage().user / 1000 - startedMs)} ms of CPU time`)
  })
}
