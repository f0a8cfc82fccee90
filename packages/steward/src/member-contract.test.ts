import test from 'ava'
import { memberContractCases } from '@egretyoke/fleet'
import type { MemberSubject } from '@egretyoke/fleet'
import { startTestFleet } from './test-fleet.js'

const startSubjects = async () => {
  const fleet = await startTestFleet({ entryCount: 1 })
  const subject = (name: string): MemberSubject => {
    const { link, linked } = fleet.members.get(name)!
    return {
      control: linked,
      upstream: { name, address: link.address },
      setIsolated: cut => link.setFault({ cut })
    }
  }
  let count = 0
  const write = async ({ upstream }: MemberSubject, expectedTerm: number) => {
    const end = await fleet.entries[0].execute(upstream.address, 'core', {
      statement: Buffer.from(`put k ${count++}`), writes: true, expectedTerm, confirmation: 'PRIMARY', timeoutMs: 500
    })
    return end?.verdict === 'DONE'
  }
  return { primary: subject('core-a'), replica: subject('core-b'), other: subject('core-c'), write, close: fleet.close }
}

for (const { title, run } of memberContractCases) {
  test.serial(`gRPC adapter with the stand-in: ${title}`, async t => {
    const group = await startSubjects()
    t.teardown(group.close)
    await run(group)
    t.pass()
  })
}
