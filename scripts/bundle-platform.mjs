// Bundles the program for the platform's VMs into target/: one file starts much faster than several hundred.
import { cpSync, mkdirSync } from 'node:fs'
import { build } from 'esbuild'

mkdirSync('target/bin', { recursive: true })
// The bundle looks for the .proto files beside its own folder.
cpSync('packages/protocol/proto', 'target/proto', { recursive: true })
await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/bin/egretyoke-platform.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  // Their CommonJS builds load their parts in a way that cannot be bundled.
  alias: { 'jsonc-parser': 'jsonc-parser/lib/esm/main.js', 'ts-results': 'ts-results/esm/index.js' },
  banner: {
    js: "import { createRequire as bundleRequire } from 'node:module'\nconst require = bundleRequire(import.meta.url)"
  }
})
