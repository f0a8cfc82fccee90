/**
 * Checks across entries and documents: references, duplicates and contradictory settings.
 */
import { createPathLocator } from '@egretyoke/common'
import type { DocumentPath, Finding } from '@egretyoke/common'
import type { Configuration, DocumentName, Group, Route, Workspace } from './documents.js'

/** A document's text and the file name shown in findings. */
export type DocumentText = { file: string, text: string }

/** The text of every document. */
export type DocumentTexts = Record<DocumentName, DocumentText>

/** Maximum number of findings reported by the checks. */
export const maxCheckFindings = 200

type Problem = { document: DocumentName, path: DocumentPath, message: string }

const problem = (document: DocumentName, path: DocumentPath, message: string): Problem => ({ document, path, message })

/** Creates a function that returns the earlier holder of a value, or registers the holder if there is none. */
const createDuplicateDetector = () => {
  const seen = new Map<string, string>()
  return (value: string, holder: string): string | undefined => {
    const first = seen.get(value)
    if (first === undefined) seen.set(value, holder)
    return first
  }
}

function * routeProblems (configuration: Configuration, path: DocumentPath, route: Route): Generator<Problem> {
  if (!Object.hasOwn(configuration.groups, route.group)) {
    yield problem('workspaces', [...path, 'group'], `no group "${route.group}"`)
  }
  if (!Object.hasOwn(configuration.profiles, route.profile)) {
    yield problem('workspaces', [...path, 'profile'], `no profile "${route.profile}"`)
  }
  if (route.openToAll && route.access === 'write' && !route.repeatable) {
    yield problem('workspaces', [...path, 'openToAll'], 'a write that is open to all must be repeatable')
  }
}

function * workspaceProblems (configuration: Configuration): Generator<Problem> {
  const findKeyHolder = createDuplicateDetector()
  for (const [name, workspace] of Object.entries<Workspace>(configuration.workspaces)) {
    const path = ['workspaces', name]
    for (const [routeName, route] of Object.entries<Route>(workspace.routes)) {
      yield * routeProblems(configuration, [...path, 'routes', routeName], route)
    }
    for (const keyId of Object.keys(workspace.keys)) {
      const holder = findKeyHolder(keyId, name)
      if (holder === undefined) continue
      yield problem('workspaces', [...path, 'keys', keyId], `workspace "${holder}" has a key of this id`)
    }
  }
}

const addressProblem = (address: string): string | undefined => {
  const colon = address.lastIndexOf(':')
  const port = Number(address.slice(colon + 1))
  if (port < 1 || port > 65_535) return 'the port must be 1 to 65535'
  if (address.startsWith('[')) return undefined
  const numbers = address.slice(0, colon).split('.')
  return numbers.every(number => Number(number) <= 255) ? undefined : 'each number of the IP must be 0 to 255'
}

function * groupProblems (configuration: Configuration): Generator<Problem> {
  const findAddressHolder = createDuplicateDetector()
  const findNameHolder = createDuplicateDetector()
  for (const [groupName, group] of Object.entries<Group>(configuration.groups)) {
    const path = ['groups', groupName]
    if (!Object.hasOwn(group.endpoints, group.firstPrimary)) {
      yield problem('groups', [...path, 'firstPrimary'], `"${group.firstPrimary}" is not an endpoint of the group`)
    }
    for (const [name, endpoint] of Object.entries(group.endpoints)) {
      const endpointPath = [...path, 'endpoints', name]
      const holder = `${groupName}/${name}`
      const nameHolder = findNameHolder(name, holder)
      if (nameHolder) yield problem('groups', endpointPath, `"${nameHolder}" has the same endpoint name`)
      const addressHolder = findAddressHolder(endpoint.address, holder)
      if (addressHolder) {
        yield problem('groups', [...endpointPath, 'address'], `"${addressHolder}" has the same address`)
      }
      const addressMessage = addressProblem(endpoint.address)
      if (addressMessage) yield problem('groups', [...endpointPath, 'address'], addressMessage)
      if (!Object.hasOwn(configuration.dataCentres, endpoint.dataCentre)) {
        yield problem('groups', [...endpointPath, 'dataCentre'], `no data centre "${endpoint.dataCentre}"`)
      }
    }
  }
}

function * dataCentreProblems (configuration: Configuration): Generator<Problem> {
  const states = Object.values(configuration.dataCentres).map(dataCentre => dataCentre.state)
  if (states.length > 0 && states.every(state => state === 'out')) {
    yield problem('data-centres', ['dataCentres'], 'at least one data centre must be in')
  }
}

/** Returns up to `maxCheckFindings` findings of the checks, each at the position of the invalid value. */
export const checkConfiguration = (configuration: Configuration, texts: DocumentTexts): Finding[] => {
  const problems = [
    ...workspaceProblems(configuration),
    ...groupProblems(configuration),
    ...dataCentreProblems(configuration)
  ].slice(0, maxCheckFindings)
  const locators = new Map<DocumentName, ReturnType<typeof createPathLocator>>()
  return problems.map(({ document, path, message }) => {
    const locatePath = locators.get(document) ?? createPathLocator(texts[document].text)
    locators.set(document, locatePath)
    return { file: texts[document].file, ...locatePath(path), message: `${path.join('.')}: ${message}` }
  })
}
