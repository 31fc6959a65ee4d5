import * as questionnaireAnswers from '../contracts/questionnaire_answers.js';
import * as tomlSchema from './toml_schema.js';

const name = new tomlSchema.NameRule();
const text = new tomlSchema.TextRule(100);
const yesOrNo = new tomlSchema.BooleanRule();
const processors = new tomlSchema.NumberRule(0.001, 10_000);
const memory = new tomlSchema.NumberRule(0.001, 1_000_000);
const accelerators = new tomlSchema.IntegerRule(0, 1_000);

function nameOf(value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return undefined;
  return (value as Readonly<Record<string, unknown>>)['name'];
}

const zone = new tomlSchema.TableRule([
  {key: 'name', rule: name, meaning: 'What is the zone called?'},
  {key: 'region', rule: name, meaning: 'In which region is it?'},
]);

const worker = new tomlSchema.TableRule([
  {
    key: 'zones',
    rule: new tomlSchema.ListRule(name, 1, 1_000),
    meaning: 'In which zones do such workers run?',
  },
  {
    key: 'countPerZone',
    rule: new tomlSchema.IntegerRule(1, 100_000),
    meaning: 'How many of them are in each of these zones?',
  },
  {
    key: 'processors',
    rule: processors,
    meaning: 'How many processors has one?',
  },
  {
    key: 'memoryGiB',
    rule: memory,
    unit: 'GiB',
    meaning: 'How much memory has one?',
  },
  {
    key: 'accelerators',
    rule: accelerators,
    default: 0,
    meaning: 'How many accelerators has one?',
  },
  {
    key: 'slots',
    rule: new tomlSchema.IntegerRule(1, 100_000),
    meaning: 'How many tasks does one hold at once?',
  },
  {
    key: 'connections',
    rule: new tomlSchema.IntegerRule(1, 65_535),
    default: 60,
    meaning: 'How many connections does one accept?',
  },
]);

const work = new tomlSchema.TableRule([
  {key: 'name', rule: name, meaning: 'What is this kind of work called?'},
  {
    key: 'endsByItself',
    rule: yesOrNo,
    meaning: 'Does a piece of this work end by itself?',
  },
  {
    key: 'mayRunTwice',
    rule: yesOrNo,
    meaning: 'Does it do no harm if a piece runs a second time?',
  },
  {
    key: 'machinesAtOnce',
    rule: new tomlSchema.IntegerRule(1, 10_000),
    default: 1,
    meaning: 'On how many machines does one piece run at once?',
  },
  {
    key: 'whenLate',
    rule: new tomlSchema.ChoiceRule(questionnaireAnswers.LATENESS_ANSWERS),
    meaning: 'What happens if it starts late?',
  },
  {
    key: 'valueOfOne',
    rule: new tomlSchema.IntegerRule(0, 1_000_000_000),
    default: 1,
    meaning: 'What is one piece worth, compared with your other work?',
  },
  {
    key: 'processors',
    rule: processors,
    meaning: 'How many processors does it use on a machine?',
  },
  {
    key: 'memoryGiB',
    rule: memory,
    unit: 'GiB',
    meaning: 'How much memory does it use on a machine?',
  },
  {
    key: 'accelerators',
    rule: accelerators,
    default: 0,
    meaning: 'How many accelerators does it use on a machine?',
  },
  {
    key: 'minutes',
    rule: new tomlSchema.NumberRule(0, 43_200),
    default: 0,
    unit: 'minutes',
    meaning: 'How long does a piece that ends run?',
  },
  {
    key: 'uselessAfterMinutes',
    rule: new tomlSchema.NumberRule(0, 43_200),
    default: 0,
    unit: 'minutes',
    meaning: 'After what wait is it not worth starting? 0 means never.',
  },
  {
    key: 'onlyInZones',
    rule: new tomlSchema.ListRule(name, 0, 1_000),
    default: [],
    meaning: 'In which zones alone may it run? An empty list means all.',
  },
  {
    key: 'survivesRackLoss',
    rule: yesOrNo,
    default: false,
    meaning: 'Does half of its machines have to survive the loss of a rack?',
  },
  {
    key: 'perBusyHour',
    rule: new tomlSchema.IntegerRule(0, 10_000_000),
    meaning: 'How many pieces come in your busiest hour?',
  },
]);

const team = new tomlSchema.TableRule([
  {key: 'name', rule: name, meaning: 'What is the team called?'},
  {
    key: 'clients',
    rule: new tomlSchema.ListRule(text, 1, 10_000),
    meaning: 'Which clients send its requests?',
  },
  {
    key: 'fleetPercent',
    rule: new tomlSchema.NumberRule(0.1, 100),
    unit: 'percent',
    meaning: 'How much of the fleet may the team use at most?',
  },
  {
    key: 'weight',
    rule: new tomlSchema.NumberRule(0.001, 1_000),
    default: 1,
    meaning: 'How much does it count when teams compete for the same room?',
  },
  {
    key: 'backlogMinutes',
    rule: new tomlSchema.NumberRule(0, 10_080),
    unit: 'minutes',
    meaning: 'For how long may work of the busiest hour pile up?',
  },
  {
    key: 'work',
    rule: new tomlSchema.ListRule(work, 1, 1_000, nameOf),
    meaning: 'Which kinds of work does the team have?',
  },
]);

/** The questions; the meaning of a key is its question. */
export const QUESTIONNAIRE_SCHEMA = new tomlSchema.TableRule([
  {key: 'operator', rule: text, meaning: 'Who operates the cell?'},
  {
    key: 'zones',
    rule: new tomlSchema.ListRule(zone, 1, 1_000, nameOf),
    meaning: 'Which availability zones are there?',
  },
  {
    key: 'workers',
    rule: new tomlSchema.ListRule(worker, 1, 1_000, () => undefined),
    meaning: 'Which shapes of workers are there?',
  },
  {
    key: 'teams',
    rule: new tomlSchema.ListRule(team, 1, 10_000, nameOf),
    meaning: 'Which teams are there?',
  },
]);
