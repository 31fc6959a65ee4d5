import tseslint from 'typescript-eslint';

const namespaceImportsOnly = {
  selector:
    'ImportDeclaration > :matches(ImportSpecifier, ImportDefaultSpecifier)',
  message: 'Use a namespace import: import * as name from "...".',
};

export default tseslint.config(
  {
    ignores: [
      'build/',
      'dist/',
      'target/',
      'node_modules/',
      'src/links/generated/',
    ],
  },
  ...tseslint.configs.recommended,
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/consistent-type-assertions': [
        'error',
        {assertionStyle: 'as'},
      ],
      '@typescript-eslint/explicit-member-accessibility': [
        'error',
        {accessibility: 'no-public'},
      ],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: 'variable',
          modifiers: ['const', 'global'],
          format: ['camelCase', 'UPPER_CASE'],
        },
        {selector: 'function', format: ['camelCase']},
        {selector: 'classProperty', format: ['camelCase', 'UPPER_CASE']},
        {selector: 'classMethod', format: ['camelCase']},
      ],
      'no-restricted-syntax': [
        'error',
        namespaceImportsOnly,
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use named exports.',
        },
        {
          selector: 'PropertyDefinition > PrivateIdentifier.key',
          message: 'Use the private keyword.',
        },
      ],
      eqeqeq: ['error', 'always'],
      curly: ['error', 'multi-line'],
      'prefer-const': 'error',
      'no-var': 'error',
      'max-lines': [
        'error',
        {max: 500, skipBlankLines: true, skipComments: true},
      ],
    },
  },
  {
    files: [
      'src/machines/**/*.ts',
      'src/zones/**/*.ts',
      'src/contracts/**/*.ts',
      'src/jobs/**/*.ts',
    ],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: [
                '**/links/**',
                '**/operations/**',
                'node:http*',
                'node:net',
                'undici',
                '@connectrpc/*',
                '@bufbuild/*',
              ],
              message: 'Decisions stay apart from the encoding of messages.',
            },
          ],
        },
      ],
    },
  },
);
