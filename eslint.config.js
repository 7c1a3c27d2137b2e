import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['dist/', 'target/', 'node_modules/', 'coverage/', 'eslint.config.js'] },
  ...tseslint.configs.recommendedTypeChecked,
  {
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/no-misused-promises': ['error', { checksVoidReturn: false }],
      '@typescript-eslint/require-await': 'off',
      // modern-errors types its instances as plain objects, which this rule takes for no errors.
      '@typescript-eslint/only-throw-error': 'off',
      eqeqeq: 'error',
      'max-lines': ['error', { max: 350, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    // Types stand in doc comments, which these rules don't read; the compiler checks them.
    files: ['scripts/**'],
    rules: {
      '@typescript-eslint/explicit-module-boundary-types': 'off',
      '@typescript-eslint/no-unsafe-assignment': 'off',
    },
  },
  {
    files: ['test/**'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off' },
  },
);
