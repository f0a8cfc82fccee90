export default {
  files: ['packages/*/dist/**/*.test.js', 'platform/dist/**/*.test.js', 'soak/dist/**/*.test.js'],
  nodeArguments: ['--enable-source-maps'],
  workerThreads: false,
  concurrency: 4,
  timeout: '3m'
}
