/**
 * Which answers prove that a log has every confirmed commit: all groups of up to four replicas, all sets of answers.
 */
import test from 'ava'
import { hasAllCommits, requiredReplies } from './commit-proof.js'

const maxReplicas = 4
const logLength = 3

/** All sequences of the given length over the numbers 0 to `max`. */
function * sequences (length: number, max: number): Generator<number[]> {
  if (length === 0) return yield []
  for (const rest of sequences(length - 1, max)) for (let value = 0; value <= max; value++) yield [value, ...rest]
}

/** Number of the newest commit that at least `syncReplicas` replicas have received. */
const confirmedOf = (received: readonly number[], syncReplicas: number) =>
  received.toSorted((one, other) => other - one)[syncReplicas - 1] ?? 0

const positionOf = (number: number) => `3.${number}`

// Guards against the promotion of a replica that lacks commits which only silent replicas have received.
test('a log that counts as complete has every confirmed commit, whichever replicas are silent', t => {
  let completeCount = 0
  for (let replicaCount = 1; replicaCount <= maxReplicas; replicaCount++) {
    for (let syncReplicas = 1; syncReplicas <= replicaCount; syncReplicas++) {
      for (const received of sequences(replicaCount, logLength)) {
        const confirmed = confirmedOf(received, syncReplicas)
        for (const answers of sequences(replicaCount, 1)) {
          const answered = received.filter((_, index) => answers[index] === 1)
          const replicaPositions = answered.map(positionOf)
          for (const number of answered) {
            const isComplete = hasAllCommits(positionOf(number), {
              replicaCount, syncReplicas, replicaPositions, primaryPosition: undefined
            })
            if (isComplete) completeCount++
            if (isComplete && number < confirmed) t.fail(`${received} silent ${answers}: ${number} lacks ${confirmed}`)
          }
        }
      }
    }
  }
  t.true(completeCount > 0)
})

test('the most advanced log is complete as soon as enough replicas have answered', t => {
  for (let replicaCount = 1; replicaCount <= maxReplicas; replicaCount++) {
    for (let syncReplicas = 1; syncReplicas <= replicaCount; syncReplicas++) {
      const count = requiredReplies({ replicaCount, syncReplicas })
      const replicaPositions = Array.from({ length: count }, (_, index) => positionOf(index))
      const replies = { replicaCount, syncReplicas, replicaPositions, primaryPosition: undefined }
      t.true(hasAllCommits(positionOf(count - 1), replies))
      t.is(hasAllCommits(positionOf(count - 1), { ...replies, replicaPositions: replicaPositions.slice(1) }), false)
    }
  }
})

test('a log that has reached the primary\'s position is complete, whoever else is silent', t => {
  const replies = { replicaCount: 3, syncReplicas: 1, replicaPositions: [], primaryPosition: '3.7' }
  t.true(hasAllCommits('3.7', replies))
  t.false(hasAllCommits('3.6', replies))
})

test('without synchronous replicas no proof is asked for', t => {
  t.true(hasAllCommits('3.1', { replicaCount: 2, syncReplicas: 0, replicaPositions: ['3.9'], primaryPosition: '3.9' }))
})
