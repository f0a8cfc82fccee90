/**
 * The event catalogue: numbers and names are unique, every event is used, and docs/EVENTS.md matches the code.
 */
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import type { EventDefinition } from './log.js'

const root = fileURLToPath(new URL('../../../', import.meta.url))

type Catalogue = { packageName: string, events: Record<string, EventDefinition> }

const catalogues: Catalogue[] = []
const folders = [...readdirSync(`${root}packages`).map(name => `packages/${name}`), 'platform']
for (const packageName of folders) {
  const file = `${root}${packageName}/dist/events.js`
  if (existsSync(file)) catalogues.push({ packageName, events: (await import(file)).events })
}
const allEvents = catalogues.flatMap(({ events }) => Object.values(events))

const sourceOf = (packageName: string): string =>
  readdirSync(`${root}${packageName}/src`, { recursive: true, encoding: 'utf8' })
    .filter(file => file.endsWith('.ts') && !file.endsWith('.test.ts') && file !== 'events.ts')
    .map(file => readFileSync(`${root}${packageName}/src/${file}`, 'utf8'))
    .join('\n')

test('event numbers and names are unique', t => {
  t.true(allEvents.length > 0)
  t.is(new Set(allEvents.map(event => event.id)).size, allEvents.length)
  t.is(new Set(allEvents.map(event => event.name)).size, allEvents.length)
  for (const event of allEvents) t.regex(event.name, /^[a-z][a-zA-Z]*$/)
})

test('docs/EVENTS.md lists exactly the events that the code defines', t => {
  const listed = readFileSync(`${root}docs/EVENTS.md`, 'utf8').split('\n').filter(line => /^\| \d+ /.test(line))
  const expected = allEvents.map(event => `| ${event.id} | ${event.name} | ${event.meaning} |`)
  t.deepEqual(listed.toSorted(), expected.toSorted())
})

for (const { packageName, events } of catalogues) {
  test(`the code of ${packageName} uses every event that it defines`, t => {
    const source = sourceOf(packageName)
    const unused = Object.keys(events).filter(name => !source.includes(`events.${name}`))
    t.deepEqual(unused, [])
  })
}
