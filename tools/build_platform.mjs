// Builds target/parsleyknot.cjs: the process that runs on the users' platform,
// bundled into one file with only the modules that it uses.
import * as esbuild from 'esbuild';

await esbuild.build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/parsleyknot.cjs',
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  minifySyntax: true,
  legalComments: 'none',
  logLevel: 'warning',
});
