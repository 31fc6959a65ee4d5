// Fails if the committed generated code differs from what buf generates from
// the protocol file. Passes with a message if buf is not installed.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

if (!fs.existsSync('node_modules/.bin/buf')) {
  console.log('generated code not checked: buf is not installed');
  process.exit(0);
}
const temporaryFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'generated-'));
const result = childProcess.spawnSync(
  'node_modules/.bin/buf',
  ['generate', '--output', temporaryFolder],
  {stdio: 'inherit'},
);
if (result.status !== 0) process.exit(1);
const GENERATED_FOLDER = 'src/links/generated';
for (const name of fs.readdirSync(GENERATED_FOLDER)) {
  const committed = path.join(GENERATED_FOLDER, name);
  const generated = path.join(temporaryFolder, committed);
  const identical =
    fs.existsSync(generated) &&
    fs.readFileSync(committed).equals(fs.readFileSync(generated));
  if (identical) continue;
  console.error(`${committed} is out of date: run npm run generate`);
  process.exit(1);
}
fs.rmSync(temporaryFolder, {recursive: true});
console.log('generated code is current');
