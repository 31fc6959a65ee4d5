// Installs what is missing from the lock file and compiles, so that each
// command of the README works on a fresh clone.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';

function run(command, commandArguments) {
  const result = childProcess.spawnSync(command, commandArguments, {
    stdio: ['ignore', 'inherit', 'inherit'],
  });
  if (result.status !== 0) process.exit(result.status ?? 1);
}

function isInstalled() {
  const marker = 'node_modules/.package-lock.json';
  if (!fs.existsSync(marker)) return false;
  return (
    fs.statSync(marker).mtimeMs >= fs.statSync('package-lock.json').mtimeMs
  );
}

if (!isInstalled()) {
  run('npm', ['ci', '--prefer-offline', '--no-audit', '--no-fund']);
  fs.utimesSync('node_modules/.package-lock.json', new Date(), new Date());
}
run('node', ['node_modules/typescript/bin/tsc', '-p', 'tsconfig.json']);
