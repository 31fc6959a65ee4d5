// Installs the locked dependencies if they are missing or older than the lock
// file, and compiles the code, so that each command of the README works on a
// fresh clone.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';

function run(command, commandArguments) {
  const result = childProcess.spawnSync(command, commandArguments, {
    stdio: ['ignore', 'inherit', 'inherit'],
  });
  if (result.status !== 0) process.exit(result.status ?? 1);
}

function isInstalled() {
  const installedLock = 'node_modules/.package-lock.json';
  if (!fs.existsSync(installedLock)) return false;
  return (
    fs.statSync(installedLock).mtimeMs >=
    fs.statSync('package-lock.json').mtimeMs
  );
}

if (!isInstalled()) {
  run('npm', ['ci', '--prefer-offline', '--no-audit', '--no-fund']);
  fs.utimesSync('node_modules/.package-lock.json', new Date(), new Date());
}
run('node', ['node_modules/typescript/bin/tsc', '-p', 'tsconfig.json']);
