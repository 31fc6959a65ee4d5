import * as questionnaireAnswers from '../contracts/questionnaire_answers.js';
import * as tomlSchema from './toml_schema.js';

const nameRule = new tomlSchema.NameRule();
const textRule = new tomlSchema.TextRule(100);
const booleanRule = new tomlSchema.BooleanRule();
const processorsRule = new tomlSchema.NumberRule(0.001, 10_000);
const memoryRule = new tomlSchema.NumberRule(0.001, 1_000_000);
const acceleratorsRule = new tomlSchema.IntegerRule(0, 1_000);

function readName(value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return undefined;
  return (value as Readonly<Record<string, unknown>>)['name'];
}

const zoneTable = new tomlSchema.TableRule([
  {key: 'name', rule: nameRule, meaning: 'What is the zone called?'},
  {key: 'region', rule: nameRule, meaning: 'In which region is it?'},
]);

const workerTable = new tomlSchema.TableRule([
  {
    key: 'zones',
    rule: new tomlSchema.ListRule(nameRule, 1, 1_000),
    meaning: 'In which zones do such workers run?',
  },
  {
    key: 'countPerZone',
    rule: new tomlSchema.IntegerRule(1, 100_000),
    meaning: 'How many of them are in each of these zones?',
  },
  {
    key: 'processors',
    rule: processorsRule,
    meaning: 'How many processors does one have?',
  },
  {
    key: 'memoryGiB',
    rule: memoryRule,
    unit: 'GiB',
    meaning: 'How much memory does one have?',
  },
  {
    key: 'accelerators',
    rule: acceleratorsRule,
    default: 0,
    meaning: 'How many accelerators does one have?',
  },
  {
    key: 'slots',
    rule: new tomlSchema.IntegerRule(1, 100_000),
    meaning: 'How many tasks can one run at the same time?',
  },
  {
    key: 'connections',
    rule: new tomlSchema.IntegerRule(1, 65_535),
    default: 60,
    meaning: 'How many connections does one accept?',
  },
]);

const workTable = new tomlSchema.TableRule([
  {key: 'name', rule: nameRule, meaning: 'What is this kind of work called?'},
  {
    key: 'endsByItself',
    rule: booleanRule,
    meaning: 'Does a piece of this work end by itself?',
  },
  {
    key: 'mayRunTwice',
    rule: booleanRule,
    meaning: 'Can a piece safely run a second time?',
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
    rule: processorsRule,
    meaning: 'How many processors does it use on a machine?',
  },
  {
    key: 'memoryGiB',
    rule: memoryRule,
    unit: 'GiB',
    meaning: 'How much memory does it use on a machine?',
  },
  {
    key: 'accelerators',
    rule: acceleratorsRule,
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
    rule: new tomlSchema.ListRule(nameRule, 0, 1_000),
    default: [],
    meaning: 'To which zones is it restricted? An empty list means all.',
  },
  {
    key: 'survivesRackLoss',
    rule: booleanRule,
    default: false,
    meaning: 'Must half of its machines survive the loss of a rack?',
  },
  {
    key: 'perBusyHour',
    rule: new tomlSchema.IntegerRule(0, 10_000_000),
    meaning: 'How many pieces come in your busiest hour?',
  },
]);

const teamTable = new tomlSchema.TableRule([
  {key: 'name', rule: nameRule, meaning: 'What is the team called?'},
  {
    key: 'clients',
    rule: new tomlSchema.ListRule(textRule, 1, 10_000),
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
    meaning: 'What weight does it have when teams compete for capacity?',
  },
  {
    key: 'backlogMinutes',
    rule: new tomlSchema.NumberRule(0, 10_080),
    unit: 'minutes',
    meaning: 'How long a backlog may the busiest hour build up?',
  },
  {
    key: 'work',
    rule: new tomlSchema.ListRule(workTable, 1, 1_000, readName),
    meaning: 'Which kinds of work does the team have?',
  },
]);

/** Schema of the answers; the meaning of a key is the question to ask. */
export const QUESTIONNAIRE_SCHEMA = new tomlSchema.TableRule([
  {key: 'operator', rule: textRule, meaning: 'Who operates the cell?'},
  {
    key: 'zones',
    rule: new tomlSchema.ListRule(zoneTable, 1, 1_000, readName),
    meaning: 'Which availability zones are there?',
  },
  {
    key: 'workers',
    rule: new tomlSchema.ListRule(workerTable, 1, 1_000, () => undefined),
    meaning: 'Which shapes of workers are there?',
  },
  {
    key: 'teams',
    rule: new tomlSchema.ListRule(teamTable, 1, 10_000, readName),
    meaning: 'Which teams are there?',
  },
]);
