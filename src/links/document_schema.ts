import * as tomlSchema from './toml_schema.js';
import * as workload from '../contracts/workload.js';

/** Connections that a worker accepts when its shape states none. */
const DEFAULT_CONNECTIONS = 60;

/** Largest count of processors in thousandths, of a worker or a quota. */
const PROCESSORS_LIMIT = 100_000_000;

/** Largest memory in MiB, of a worker or a quota. */
const MEMORY_LIMIT = 10_000_000_000;

/** Largest count of accelerators or slots, of a worker or a quota. */
const COUNT_LIMIT = 1_000_000;

/** Longest time in milliseconds: 30 days. */
const TIME_LIMIT_MS = 2_592_000_000;

const name = new tomlSchema.NameRule();

const zoneNames = new tomlSchema.ListRule(name, 0, 1_000);

function resourcesRule(
  leastProcessors: number,
  leastMemory: number,
  leastSlots: number,
): tomlSchema.TableRule {
  return new tomlSchema.TableRule([
    {
      key: 'processors',
      rule: new tomlSchema.IntegerRule(leastProcessors, PROCESSORS_LIMIT),
      unit: 'thousandths of a processor',
      meaning: 'Processors.',
    },
    {
      key: 'memory',
      rule: new tomlSchema.IntegerRule(leastMemory, MEMORY_LIMIT),
      unit: 'MiB',
      meaning: 'Memory.',
    },
    {
      key: 'accelerators',
      rule: new tomlSchema.IntegerRule(0, COUNT_LIMIT),
      default: 0,
      meaning: 'Whole accelerators.',
    },
    {
      key: 'slots',
      rule: new tomlSchema.IntegerRule(leastSlots, COUNT_LIMIT),
      default: 1,
      meaning: 'Concurrent tasks that are held at once.',
    },
  ]);
}

function keyOf(key: string): (value: unknown) => unknown {
  return value =>
    typeof value === 'object' && value !== null
      ? (value as Readonly<Record<string, unknown>>)[key]
      : undefined;
}

const zonePlan = new tomlSchema.TableRule([
  {key: 'name', rule: name, meaning: 'Name of the availability zone.'},
  {key: 'region', rule: name, meaning: 'Region in which the zone is.'},
]);

const workerShape = new tomlSchema.TableRule([
  {
    key: 'capacity',
    rule: resourcesRule(1, 1, 1),
    meaning: 'What one empty worker of this shape offers.',
  },
  {
    key: 'connections',
    rule: new tomlSchema.IntegerRule(1, 65_535),
    default: DEFAULT_CONNECTIONS,
    meaning: 'Connections that one worker accepts.',
  },
  {
    key: 'zones',
    rule: new tomlSchema.ListRule(name, 1, 1_000),
    meaning: 'Zones with workers of this shape.',
  },
]);

/** Keys of the document `fleet`. */
export const FLEET_SCHEMA = new tomlSchema.TableRule([
  {
    key: 'zones',
    rule: new tomlSchema.ListRule(zonePlan, 1, 1_000, keyOf('name')),
    meaning: 'The availability zones of the cell.',
  },
  {
    key: 'workerShapes',
    rule: new tomlSchema.ListRule(workerShape, 0, 1_000, () => undefined),
    meaning: 'The shapes of workers. A job that fits none is refused.',
  },
]);

const workloadTable = new tomlSchema.TableRule([
  {key: 'name', rule: name, meaning: 'Name, unique within the team.'},
  {
    key: 'kind',
    rule: new tomlSchema.ChoiceRule(['service', 'batch', 'gang']),
    meaning: 'Long-running, ending, or starting all tasks at once.',
  },
  {
    key: 'urgency',
    rule: new tomlSchema.ChoiceRule(workload.URGENCY_LEVELS),
    default: 'normal',
    meaning: "Order inside the team's share.",
  },
  {
    key: 'worth',
    rule: new tomlSchema.IntegerRule(0, 1_000_000_000),
    default: 1,
    meaning: 'Value of one request; orders requests of one urgency.',
  },
  {
    key: 'idempotent',
    rule: new tomlSchema.BooleanRule(),
    meaning: 'Whether running twice does no harm.',
  },
  {
    key: 'size',
    rule: resourcesRule(0, 0, 0),
    meaning: 'Declared size of one task.',
  },
  {
    key: 'runTimeMs',
    rule: new tomlSchema.IntegerRule(0, TIME_LIMIT_MS),
    default: 0,
    unit: 'ms',
    meaning: 'Declared run time of one task; 0 for services.',
  },
  {
    key: 'taskCount',
    rule: new tomlSchema.IntegerRule(1, 10_000),
    default: 1,
    meaning: 'Tasks of one request; the replicas of a service.',
  },
  {
    key: 'startDeadlineMs',
    rule: new tomlSchema.IntegerRule(0, TIME_LIMIT_MS),
    default: 0,
    unit: 'ms',
    meaning: 'Longest wait for a start; 0 means no deadline.',
  },
  {
    key: 'zones',
    rule: zoneNames,
    default: [],
    meaning: 'Zones of `fleet` in which tasks may run; empty means all.',
  },
  {
    key: 'maximumPerRack',
    rule: new tomlSchema.IntegerRule(0, 10_000),
    default: 0,
    meaning: 'Most tasks of one request on a rack; 0 means no limit.',
  },
]);

/** Keys of the documents `team/<name>`. */
export const TEAM_SCHEMA = new tomlSchema.TableRule([
  {
    key: 'name',
    rule: name,
    meaning: "The team's name, as in the document's name.",
  },
  {
    key: 'clients',
    rule: new tomlSchema.ListRule(new tomlSchema.TextRule(100), 1, 10_000),
    meaning: 'Clients that may send requests for the team.',
  },
  {
    key: 'quota',
    rule: resourcesRule(0, 0, 0),
    meaning: "Upper limit of what the team's tasks reserve at once.",
  },
  {
    key: 'share',
    rule: new tomlSchema.NumberRule(0.001, 1_000),
    default: 1,
    meaning: 'Weight among teams that compete for the same room.',
  },
  {
    key: 'queueLimit',
    rule: new tomlSchema.IntegerRule(1, 1_000_000),
    default: 1_000,
    meaning: 'Requests that may wait; more are refused.',
  },
  {
    key: 'workloads',
    rule: new tomlSchema.ListRule(workloadTable, 1, 1_000, keyOf('name')),
    meaning: "The kinds of the team's work.",
  },
]);
