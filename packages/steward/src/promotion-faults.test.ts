import test from 'ava'
import type { PromotionStep } from './coordination/promotion-calls.js'
import { assertReplicatedEverywhere, eventually, startTestFleet, writeUntilConfirmed } from './test-fleet.js'

const steps: PromotionStep[] = ['fencing', 'stopped', 'fenced', 'promoted', 'adopted', 'active']

for (const pausedStep of steps) {
  test.serial(`a steward that resumes after "${pausedStep}" has no effect after a later promotion`, async t => {
    const fleet = await startTestFleet()
    t.teardown(fleet.close)
    const firstSteward = await fleet.addSteward('vm-1')
    await fleet.untilServing(1)
    const first = await writeUntilConfirmed(fleet, 'put k 1')
    await firstSteward.close()
    let resume = () => {}
    const resumed = new Promise<void>(resolve => {
      resume = resolve
    })
    const paused = new Promise<void>(resolve => {
      fleet.promoteOnce(async step => {
        if (step !== pausedStep) return
        resolve()
        await resumed
      }).then(outcome => { ended = outcome.ok ? 'active' : outcome.val.reason })
    })
    let ended = ''
    await paused
    const term = pausedStep === 'active' ? 2 : 3
    await fleet.addSteward('vm-2')
    await fleet.untilServing(term)
    const second = await writeUntilConfirmed(fleet, 'put k 2')
    const recordBefore = await fleet.group()
    resume()
    const third = await writeUntilConfirmed(fleet, 'put k 3')
    await eventually('the resumed steward ends', () => ended !== '')
    t.is(ended, pausedStep === 'active' ? 'active' : 'superseded')
    t.deepEqual(await fleet.group(), recordBefore)
    await assertReplicatedEverywhere(fleet, ['core-a', 'core-b', 'core-c'], [first, second, third])
  })
}

for (const step of steps) {
  test.serial(`completes the promotion when the platform is down after "${step}"`, async t => {
    const fleet = await startTestFleet()
    t.teardown(fleet.close)
    let outages = 0
    await fleet.addSteward('vm-1', {
      afterStep: async (_group, completedStep) => {
        if (completedStep !== step || outages > 0) return
        outages++
        await fleet.setPlatformFault({ down: true })
        setTimeout(() => fleet.setPlatformFault({ down: false }), 1_500)
      }
    })
    await fleet.untilServing(1)
    const kept = await writeUntilConfirmed(fleet, 'put k 1')
    await fleet.members.get('core-a')!.database.close()
    await eventually('outage', () => outages > 0)
    await fleet.untilServing(2)
    const added = await writeUntilConfirmed(fleet, 'put k 2')
    await assertReplicatedEverywhere(fleet, ['core-b', 'core-c'], [kept, added])
    t.pass()
  })
}

test.serial('completes the promotion when replies to swaps are lost', async t => {
  const fleet = await startTestFleet()
  t.teardown(fleet.close)
  await fleet.addSteward('vm-1')
  await fleet.untilServing(1)
  const kept = await writeUntilConfirmed(fleet, 'put k 1')
  await fleet.setPlatformFault({ loseSwapAnswers: 0.6 })
  await fleet.members.get('core-a')!.database.close()
  await fleet.untilServing(2)
  await fleet.setPlatformFault({})
  const added = await writeUntilConfirmed(fleet, 'put k 2')
  await assertReplicatedEverywhere(fleet, ['core-b', 'core-c'], [kept, added])
  t.pass()
})

test.serial('concurrent promotions by two stewards leave one primary', async t => {
  const fleet = await startTestFleet()
  t.teardown(fleet.close)
  const first = await fleet.addSteward('vm-1')
  await fleet.untilServing(1)
  const kept = await writeUntilConfirmed(fleet, 'put k 1')
  await first.close()
  for (let round = 0; round < 3; round++) {
    const outcomes = await Promise.all([fleet.promoteOnce(undefined), fleet.promoteOnce(undefined)])
    t.true(outcomes.filter(outcome => outcome.ok).length <= 1)
  }
  await fleet.addSteward('vm-2')
  await fleet.untilServing(2)
  const added = await writeUntilConfirmed(fleet, 'put k 2')
  await assertReplicatedEverywhere(fleet, ['core-a', 'core-b', 'core-c'], [kept, added])
  const states = await Promise.all([...fleet.members.values()].map(member => member.control.getStatus(500)))
  t.is(states.filter(state => state.ok && state.val.isPrimary).length, 1)
})
