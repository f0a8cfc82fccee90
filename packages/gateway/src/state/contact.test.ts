/**
 * Contact with the store is valid only while the monotonic clock and the wall clock agree on its age.
 */
import test from 'ava'
import { createAgeClock, createContact } from './contact.js'

const createClocks = () => {
  const time = { monotonicMs: 1000, wallMs: 50_000 }
  const clock = createAgeClock(() => time.monotonicMs, () => time.wallMs)
  const pass = (ms: number) => {
    time.monotonicMs += ms
    time.wallMs += ms
  }
  return { time, clock, pass, contact: createContact(clock) }
}

test('without a confirmation there is no contact', t => {
  t.is(createClocks().contact.ageMs(), Infinity)
})

test('a confirmation ages, and an older one does not replace it', t => {
  const { clock, pass, contact } = createClocks()
  const early = clock.now()
  pass(100)
  contact.confirm(clock.now())
  contact.confirm(early)
  pass(50)
  t.is(contact.ageMs(), 50)
})

for (const { title, stepMs } of [
  { title: 'a suspension of the VM, which only the wall clock counts, ends contact', stepMs: 3000 },
  { title: 'a wall clock that is set back ends contact', stepMs: -2400 }
]) {
  test(title, t => {
    const { time, clock, pass, contact } = createClocks()
    contact.confirm(clock.now())
    time.wallMs += stepMs
    t.is(contact.ageMs(), Infinity)
    contact.confirm(clock.now())
    pass(10)
    t.is(contact.ageMs(), 10)
  })
}
