/**
 * Findings of the checks across entries and documents, with their exact positions.
 */
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { formatFinding } from '@egretyoke/common'
import type { DocumentTexts } from './document-checks.js'
import { documentNames } from './documents.js'
import type { DocumentName } from './documents.js'
import { readDocuments } from './read-documents.js'

const folder = fileURLToPath(new URL('../../../examples/arenal/', import.meta.url))
const originals: DocumentTexts = Object.fromEntries(documentNames.map(name =>
  [name, { file: `${name}.jsonc`, text: readFileSync(`${folder}${name}.jsonc`, 'utf8') }])) as DocumentTexts

type Case = { title: string, document: DocumentName, from: string, to: string, at: string, message: RegExp }

const storedKey = `{ "saltHex": "${'0'.repeat(32)}", "hashHex": "${'0'.repeat(64)}", "state": "active" }`

const cases: Case[] = [
  {
    title: 'unknown group',
    document: 'workspaces',
    from: '"group": "booking-core-2", "access": "read", "profile": "board"',
    to: '"group": "booking-core-9", "access": "read", "profile": "board"',
    at: '"booking-core-9"',
    message: /no group "booking-core-9"/
  },
  {
    title: 'unknown group with the name of an inherited property',
    document: 'workspaces',
    from: '"group": "booking-core-2", "access": "read", "profile": "board"',
    to: '"group": "constructor", "access": "read", "profile": "board"',
    at: '"constructor"',
    message: /no group "constructor"/
  },
  {
    title: 'unknown profile',
    document: 'workspaces',
    from: '"profile": "telemetry"',
    to: '"profile": "telepathy"',
    at: '"telepathy"',
    message: /no profile "telepathy"/
  },
  {
    title: 'a non-repeatable write that is open to all',
    document: 'workspaces',
    from: '"repeatable": false, "profile": "booking"',
    to: '"repeatable": false, "openToAll":   true, "profile": "booking"',
    at: 'true, "profile": "booking" },\n        "release-slot": { "group": "booking-core-1"',
    message: /must be repeatable/
  },
  {
    title: 'the same key id in two workspaces',
    document: 'workspaces',
    from: '"keys": {}',
    to: `"keys": { "one": ${storedKey} }`,
    at: '{ "saltHex"',
    message: /workspace "cantabria-dragados" has a key of this id/
  },
  {
    title: 'unknown first primary',
    document: 'groups',
    from: '"firstPrimary": "booking-core-2-aviles"',
    to: '"firstPrimary": "booking-core-1-aviles"',
    at: '"booking-core-1-aviles",\n      "endpoints": {\n        "booking-core-2-santander"',
    message: /not an endpoint of the group/
  },
  {
    title: 'unknown data centre',
    document: 'groups',
    from: '"dataCentre": "ferrol-dock"',
    to: '"dataCentre": "gijon-pier"',
    at: '"gijon-pier"',
    message: /no data centre "gijon-pier"/
  },
  {
    title: 'duplicate address',
    document: 'groups',
    from: '127.0.0.1:7121',
    to: '127.0.0.1:7101',
    at: '"127.0.0.1:7101",\n          "dataCentre": "santander-quay",\n          "slots": 3,\n          ' +
      '"maxConnections": 20\n        },\n        "booking-core-3-aviles"',
    message: /"booking-core-1\/booking-core-1-santander" has the same address/
  },
  {
    title: 'IP address out of range',
    document: 'groups',
    from: '127.0.0.1:7121',
    to: '127.0.0.256:7121',
    at: '"127.0.0.256:7121"',
    message: /0 to 255/
  },
  {
    title: 'port out of range',
    document: 'groups',
    from: '127.0.0.1:7121',
    to: '127.0.0.1:70000',
    at: '"127.0.0.1:70000"',
    message: /1 to 65535/
  }
]

const positionOf = (text: string, needle: string): string => {
  const lines = text.slice(0, text.lastIndexOf(needle)).split('\n')
  return `${lines.length}:${lines.at(-1)!.length + 1}`
}

for (const { title, document, from, to, at, message } of cases) {
  test(`${title} is reported at its position`, t => {
    // Every workspace has keys; the duplicate is reported at the second one.
    const original = originals[document].text
    const text = title.startsWith('the same key')
      ? original.replace(from, to).replace(from, to)
      : original.replace(from, to)
    t.not(text, original)
    const read = readDocuments({ ...originals, [document]: { file: 'x.jsonc', text } }, 1)
    const findings = read.ok ? [] : read.val
    t.is(findings.length, 1)
    t.regex(findings[0].message, message)
    t.true(formatFinding(findings[0]).startsWith(`x.jsonc:${positionOf(text, at)}: `), formatFinding(findings[0]))
  })
}

test('all findings of all documents are reported together', t => {
  const read = readDocuments({
    ...originals,
    profiles: { file: 'p.jsonc', text: '{ "profiles": { "a": {} }, "extra": 1 }' },
    groups: { file: 'g.jsonc', text: '{ "groups": ' }
  }, 1)
  const findings = read.ok ? [] : read.val
  t.true(findings.length >= 5)
  t.deepEqual([...new Set(findings.map(finding => finding.file))].sort(), ['g.jsonc', 'p.jsonc'])
})

test('a configuration in which every data centre is out is rejected', t => {
  const text = originals['data-centres'].text.replaceAll('"state": "in"', '"state": "out"')
  const read = readDocuments({ ...originals, 'data-centres': { file: 'd.jsonc', text } }, 1)
  t.regex(read.ok ? '' : read.val[0].message, /at least one data centre must be in/)
})

test('records do not expose inherited properties', t => {
  const { workspaces, groups } = readDocuments(originals, 1).unwrap()
  t.false('constructor' in workspaces)
  t.false('constructor' in groups['booking-core-1'].endpoints)
})
