import neostandard from 'neostandard'

const layers = ['transport', 'protocol', 'coordination', 'state']

// A layer imports only from itself and from the layers below it.
const layerRules = layers.map((layer, index) => ({
  files: [`packages/*/src/${layer}/**/*.ts`],
  rules: {
    'no-restricted-imports': ['error', {
      patterns: layers.slice(0, index).map(upper => ({
        group: [`**/${upper}/*`],
        message: `${layer} must not import from ${upper}`
      }))
    }]
  }
})).filter(rule => rule.rules['no-restricted-imports'][1].patterns.length > 0)

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', '**/generated/**', 'results/**', 'target/**'] }),
  // A type and a value may share a name, as Ok and Err do.
  { files: ['**/*.ts'], rules: { '@typescript-eslint/no-redeclare': 'off' } },
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/no-unused-vars': ['error', { varsIgnorePattern: '^_', argsIgnorePattern: '^_' }]
    }
  },
  // Loop conditions here change through closures and awaits, which the rule cannot see.
  { rules: { 'no-unmodified-loop-condition': 'off' } },
  { rules: { 'max-lines': ['error', 400], '@stylistic/max-len': ['error', { code: 120, ignoreUrls: true }] } },
  ...layerRules
]
