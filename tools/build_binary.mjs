// Builds dist/parsleyknot: one bundle of all code inside a copy of the node
// binary, as a Node single executable.
import * as childProcess from 'node:child_process';
import * as esbuild from 'esbuild';
import * as fs from 'node:fs';
import * as path from 'node:path';

const FOLDER = 'dist';
const BUNDLE = path.join(FOLDER, 'parsleyknot.cjs');
const BLOB = path.join(FOLDER, 'parsleyknot.blob');
const CONFIG = path.join(FOLDER, 'sea_config.json');
const BINARY = path.join(FOLDER, 'parsleyknot');

// Marks the place in the node binary; fixed by Node's documentation.
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

function run(command, commandArguments) {
  const result = childProcess.spawnSync(command, commandArguments, {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  if (result.status !== 0) {
    console.error(`${command} ${commandArguments.join(' ')} failed`);
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
    // Lines stay short, because a fault prints the line in which it arose.
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
    FUSE,
  ]);
}

fs.mkdirSync(FOLDER, {recursive: true});
await bundle();
makeBlob();
injectBlob();
const megabytes = (fs.statSync(BINARY).size / 1_048_576).toFixed(0);
console.log(`${BINARY}: ${megabytes} MB`);
