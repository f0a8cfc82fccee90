/**
 * Operations of one workspace while no token allocator answers, at irregular arrivals on several gateways.
 */
import { createRandom } from '@egretyoke/common'
import test from 'ava'
import { createTokenBucket } from '../../state/token-bucket.js'
import { fallbackLimits } from './fallback-limits.js'
import type { FallbackLimits } from './fallback-limits.js'

const ratePerSec = 26
const outageMs = 5000

/** Operations that are asked for and admitted in an outage, at exponentially distributed gaps between arrivals. */
const countAdmitted = (members: number, demandPerSec: number, limits: FallbackLimits) => {
  const random = createRandom(11)
  let asked = 0
  let admitted = 0
  for (let gateway = 0; gateway < members; gateway++) {
    let nowMs = 0
    const bucket = createTokenBucket(limits, () => nowMs)
    bucket.add(limits.initialTokens)
    const endMs = nowMs + outageMs
    for (;;) {
      nowMs += -Math.log(1 - random.fraction()) * 1000 * members / demandPerSec
      if (nowMs >= endMs) break
      asked++
      admitted += bucket.acquire(1)
    }
  }
  return { asked, admitted }
}

test('in a small fleet, at least a third of the refusals without a burst are avoided', t => {
  const demandPerSec = ratePerSec / 1.6
  const limits = fallbackLimits(ratePerSec / 7, ratePerSec, 7)
  const { asked, admitted } = countAdmitted(7, demandPerSec, limits)
  const without = countAdmitted(7, demandPerSec, { ...limits, burst: 1, initialTokens: 1 })
  t.is(asked, without.asked)
  t.true(asked - admitted <= (asked - without.admitted) * 2 / 3, `${asked}: ${admitted}, ${without.admitted}`)
})

test('in any fleet, an overloaded workspace gets no more than its rate and the tolerated excess', t => {
  for (const members of [3, 7, 61, 195]) {
    const limits = fallbackLimits(ratePerSec / members, ratePerSec, members)
    const { admitted } = countAdmitted(members, ratePerSec * 6, limits)
    const tolerated = (ratePerSec * outageMs / 1000) * 1.1 + 20
    t.true(admitted <= tolerated, `${members} members: ${admitted}`)
  }
})
