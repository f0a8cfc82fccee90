/**
 * Who a caller is, and where its data may go.
 */
import type { Route, Workspace } from '../../state/configuration.js'

/** Workspace name for callers without a key, on routes with `openToAll`. */
const openWorkspace = '-'

/** The route that a caller connects to, and the workspace that its key names. */
export type Identity = { route: Route, workspace: Workspace | undefined }

/** Name under which databases know the caller's workspace. */
export const workspaceNameOf = ({ workspace }: Pick<Identity, 'workspace'>): string => workspace?.name ?? openWorkspace

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
