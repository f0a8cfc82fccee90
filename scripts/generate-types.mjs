// Generates the TypeScript types for the .proto files; the output is committed.
import { execFileSync } from 'node:child_process'
import { readdirSync, rmSync } from 'node:fs'

const protoDir = 'packages/protocol/proto'
const outDir = 'packages/protocol/src/generated'

rmSync(outDir, { recursive: true, force: true })
execFileSync('npx', [
  'proto-loader-gen-types', '--longs=Number', '--enums=String', '--defaults', '--oneofs', '--bytes=Buffer',
  '--grpcLib=@grpc/grpc-js', '--targetFileExtension=.ts', '--importFileExtension=.js',
  `--includeDirs=${protoDir}`, `--outDir=${outDir}`, ...readdirSync(protoDir)
], { stdio: 'inherit' })
