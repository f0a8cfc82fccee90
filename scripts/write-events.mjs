// Generates docs/EVENTS.md from the event catalogues of all packages. Requires `npm run build`.
import { existsSync, readdirSync, writeFileSync } from 'node:fs'

const lines = [
  '# Events',
  '',
  'Every log line is one JSON object with `time`, `event` (the number), `name`, `program` and the fields of the event.',
  'Lines are written by `debug`: set `DEBUG=egretyoke:*` for all programs, or `DEBUG=egretyoke:entry` for one.',
  'The program on the platform (`gateway` and `platform` below) always writes its lines, to standard output.',
  'Keys never stand in a log line.',
  'This page is written by `npm run generate:events`; a test compares it with the code.',
  ''
]
const folders = [...readdirSync('packages').map(name => `packages/${name}`), 'platform']
for (const folder of folders) {
  const name = folder.split('/').at(-1)
  const file = `${folder}/dist/events.js`
  if (!existsSync(file)) continue
  const { events } = await import(`../${file}`)
  lines.push(`## ${name}`, '', '| event | name | meaning |', '| --- | --- | --- |')
  for (const event of Object.values(events).sort((left, right) => left.id - right.id)) {
    lines.push(`| ${event.id} | ${event.name} | ${event.meaning} |`)
  }
  lines.push('')
}
writeFileSync('docs/EVENTS.md', lines.join('\n'))
