/**
 * Who a caller is, and where its data may go.
 */
import type { Route, Workspace } from '../../state/configuration.js'

/** Workspace name for callers without a key, on routes with `openToAll`. */
export const openWorkspace = '-'

/** Name within the fleet of a workspace that is itself named as above. Its blank keeps it apart from all others. */
const dashWorkspace = 'workspace -'

/** The route that a caller connects to, and the workspace that its key names. */
export type Identity = { route: Route, workspace: Workspace | undefined }

/** Name within the fleet of the caller's workspace: different for each workspace, and for callers without one. */
export const workspaceNameOf = ({ workspace }: Pick<Identity, 'workspace'>): string => {
  if (workspace === undefined) return openWorkspace
  return workspace.name === openWorkspace ? dashWorkspace : workspace.name
}

/** Name that databases are told for a workspace's name within the fleet. */
export const nameAtDatabases = (workspace: string): string => workspace === dashWorkspace ? openWorkspace : workspace

/** Regions that the caller's data may enter; an empty list permits all. */
export const permittedRegionsOf = ({ route, workspace }: Identity): string[] => {
  const routeHomes = route.homeRegions
  const workspaceHomes = workspace?.homeRegions ?? []
  if (routeHomes.length === 0) return [...workspaceHomes]
  if (workspaceHomes.length === 0) return [...routeHomes]
  const sharedRegions = routeHomes.filter(region => workspaceHomes.includes(region))
  // No region is permitted by both lists: 'none' matches no region. An empty list would permit all.
  return sharedRegions.length > 0 ? sharedRegions : ['none']
}
