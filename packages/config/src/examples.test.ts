/**
 * The deployments under examples/ are valid and have their documented sizes.
 */
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { readJsonWithComments } from '@egretyoke/common'
import type { DocumentTexts } from './document-checks.js'
import { documentNames } from './documents.js'
import { fleetDescriptionSchema } from './fleet-description.js'
import { readDocuments } from './read-documents.js'

const fileOf = (deployment: string, name: string) =>
  fileURLToPath(new URL(`../../../examples/${deployment}/${name}.jsonc`, import.meta.url))

const documentsOf = (deployment: string): DocumentTexts => {
  const texts = documentNames.map(name => [name, { file: name, text: readFileSync(fileOf(deployment, name), 'utf8') }])
  return Object.fromEntries(texts)
}

for (const { deployment, slots, maxConnections } of [
  { deployment: 'arenal', slots: 3, maxConnections: 20 },
  { deployment: 'modhafen', slots: 2, maxConnections: 30 }
]) {
  test(`${deployment} is valid and has the documented size`, t => {
    const configuration = readDocuments(documentsOf(deployment), 1).unwrap()
    const groups = Object.entries(configuration.groups)
    t.is(groups.length, 3)
    t.is(Object.keys(configuration.dataCentres).length, 3)
    t.is(Object.keys(configuration.workspaces).length, 8)
    for (const [, group] of groups) {
      const endpoints = Object.values(group.endpoints)
      t.is(new Set(endpoints.map(endpoint => endpoint.dataCentre)).size, 3)
      for (const endpoint of endpoints) t.like(endpoint, { slots, maxConnections })
    }
    const routes = Object.values(configuration.workspaces).flatMap(workspace => Object.values(workspace.routes))
    for (const [name] of groups) t.true(routes.some(route => route.group === name && route.access === 'write'))
    for (const profile of Object.keys(configuration.profiles)) t.true(routes.some(route => route.profile === profile))
  })

  test(`${deployment} describes nine VMs in its own data centres`, t => {
    const file = fileOf(deployment, 'fleet')
    const fleet = readJsonWithComments(readFileSync(file, 'utf8'), file, fleetDescriptionSchema).unwrap()
    const { dataCentres } = readDocuments(documentsOf(deployment), 1).unwrap()
    t.is(fleet.vms.length, 9)
    for (const vm of fleet.vms) t.truthy(dataCentres[vm.dataCentre])
    const addresses = fleet.vms.flatMap(vm => [vm.callersAddress, vm.peersAddress, vm.healthAddress])
    t.is(new Set(addresses).size, addresses.length)
  })
}
