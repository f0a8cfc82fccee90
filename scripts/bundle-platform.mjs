// Bundles the program for the platform's VMs into target/, together with V8's code cache, which halves the restart time
// of a killed process.
import { cpSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { Script } from 'node:vm'
import { build } from 'esbuild'

const bundleFile = 'target/bin/egretyoke-platform.bundle.cjs'
const cacheFile = 'target/bin/egretyoke-platform.cache'
const launcherFile = 'target/bin/egretyoke-platform.cjs'

/**
 * Modules of Node.js that libraries import for features that the program does not use. They are loaded when they are
 * first used, because loading them takes a noticeable part of the start-up time.
 */
const lazyModules = ['child_process', 'cluster', 'dns', 'https', 'worker_threads']

/** Replaces each lazy module by a proxy of its exports. */
const lazyModulesPlugin = {
  name: 'lazy-modules',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: new RegExp(`^(node:)?(${lazyModules.join('|')})$`) }, ({ path, namespace }) =>
      namespace === 'lazy' ? { path, external: true } : { path: path.replace('node:', ''), namespace: 'lazy' })
    onLoad({ filter: /.*/, namespace: 'lazy' }, ({ path }) => ({
      contents: `module.exports = new Proxy({}, { get: (_target, name) => require('${path}')[name] })`
    }))
  }
}

mkdirSync('target/bin', { recursive: true })
// The bundle loads the .proto files from the folder next to its own.
cpSync('packages/protocol/proto', 'target/proto', { recursive: true })
await build({
  entryPoints: ['platform/src/program.ts'],
  outfile: bundleFile,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: true,
  plugins: [lazyModulesPlugin],
  logOverride: { 'import-is-undefined': 'silent' },
  // The UMD builds of these packages call a `require` parameter, which esbuild cannot resolve; it can bundle ESM.
  alias: { 'jsonc-parser': 'jsonc-parser/lib/esm/main.js', 'ts-results': 'ts-results/esm/index.js' },
  define: { 'import.meta.url': 'bundleUrl' },
  banner: { js: "const bundleUrl = require('node:url').pathToFileURL(__filename).href" }
})

const wrap = source => `(function (exports, require, module, __filename, __dirname) {${source}\n})`
const script = new Script(wrap(readFileSync(bundleFile, 'utf8')), { filename: bundleFile })
const evaluated = { exports: {} }
const require = createRequire(import.meta.url)
script.runInThisContext()(evaluated.exports, require, evaluated, `${process.cwd()}/${bundleFile}`, 'target/bin')
writeFileSync(cacheFile, script.createCachedData())

writeFileSync(launcherFile, `// Runs the bundle with its code cache; V8 compiles the bundle if it rejects the cache.
// SIGHUP (reload of the settings) must not end the process before the program has installed its handler.
process.on('SIGHUP', () => {})
const { readFileSync } = require('node:fs')
const { join } = require('node:path')
const { Script } = require('node:vm')
const filename = join(__dirname, 'egretyoke-platform.bundle.cjs')
const source = \`(function (exports, require, module, __filename, __dirname) {\${readFileSync(filename, 'utf8')}\n})\`
const script = new Script(source, { filename, cachedData: readFileSync(join(__dirname, 'egretyoke-platform.cache')) })
const evaluated = { exports: {} }
script.runInThisContext()(evaluated.exports, require, evaluated, filename, __dirname)
evaluated.exports.runPlatformProgram()
`)
// Modules loaded for the compilation leave timers active, so the process would not exit by itself.
process.exit()
