// Builds dist/parsleyknot, a Node single executable application: a copy of the
// node binary that contains a bundle of all code.
import * as childProcess from 'node:child_process';
import * as esbuild from 'esbuild';
import * as fs from 'node:fs';
import * as path from 'node:path';

const OUTPUT_FOLDER = 'dist';
const BUNDLE = path.join(OUTPUT_FOLDER, 'parsleyknot.cjs');
const BLOB = path.join(OUTPUT_FOLDER, 'parsleyknot.blob');
const CONFIG = path.join(OUTPUT_FOLDER, 'sea_config.json');
const BINARY = path.join(OUTPUT_FOLDER, 'parsleyknot');

// Marks the place in the node binary at which postject sets the blob; the value
// is prescribed by Node's documentation.
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

function run(command, commandArguments) {
  const result = childProcess.spawnSync(command, commandArguments, {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  if (result.status !== 0) {
    console.error(
      `${command} ${commandArguments.join(' ')} failed ` +
        `with status ${result.status}`,
    );
    process.exit(1);
  }
}

async function bundle() {
  await esbuild.build({
    entryPoints: ['src/main.ts'],
    outfile: BUNDLE,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    // Whitespace is not minified, which keeps lines short: an uncaught error
    // prints the source line that threw it.
    minifySyntax: true,
    minifyIdentifiers: true,
    keepNames: true,
    legalComments: 'none',
    logLevel: 'warning',
  });
}

function makeBlob() {
  const config = {
    main: BUNDLE,
    output: BLOB,
    disableExperimentalSEAWarning: true,
    useCodeCache: true,
  };
  fs.writeFileSync(CONFIG, JSON.stringify(config));
  run(process.execPath, ['--experimental-sea-config', CONFIG]);
}

function injectBlob() {
  fs.rmSync(BINARY, {force: true});
  fs.copyFileSync(process.execPath, BINARY);
  fs.chmodSync(BINARY, 0o755);
  run('node_modules/.bin/postject', [
    BINARY,
    'NODE_SEA_BLOB',
    BLOB,
    '--sentinel-fuse',
    SENTINEL_FUSE,
  ]);
}

fs.mkdirSync(OUTPUT_FOLDER, {recursive: true});
await bundle();
makeBlob();
injectBlob();
const megabytes = (fs.statSync(BINARY).size / 1_048_576).toFixed(0);
console.log(`${BINARY}: ${megabytes} MB`);
