import * as tomlSchema from './toml_schema.js';
import * as workload from '../contracts/workload.js';

/** Connections that a worker accepts unless its shape says otherwise. */
const DEFAULT_CONNECTIONS = 60;

/** Largest processor capacity of a worker or quota, in thousandths. */
const MAXIMUM_PROCESSOR_THOUSANDTHS = 100_000_000;

/** Largest memory of a worker or quota, in MiB. */
const MAXIMUM_MEMORY_MIB = 10_000_000_000;

/** Largest number of accelerators or slots of a worker or quota. */
const MAXIMUM_COUNT = 1_000_000;

/** Longest duration: 30 days. */
const MAXIMUM_DURATION_MS = 2_592_000_000;

const nameRule = new tomlSchema.NameRule();

const zoneNamesRule = new tomlSchema.ListRule(nameRule, 0, 1_000);

function resourcesRule(
  minimumProcessors: number,
  minimumMemory: number,
  minimumSlots: number,
): tomlSchema.TableRule {
  return new tomlSchema.TableRule([
    {
      key: 'processors',
      rule: new tomlSchema.IntegerRule(
        minimumProcessors,
        MAXIMUM_PROCESSOR_THOUSANDTHS,
      ),
      unit: 'thousandths of a processor',
      meaning: 'Processors.',
    },
    {
      key: 'memory',
      rule: new tomlSchema.IntegerRule(minimumMemory, MAXIMUM_MEMORY_MIB),
      unit: 'MiB',
      meaning: 'Memory.',
    },
    {
      key: 'accelerators',
      rule: new tomlSchema.IntegerRule(0, MAXIMUM_COUNT),
      default: 0,
      meaning: 'Whole accelerators.',
    },
    {
      key: 'slots',
      rule: new tomlSchema.IntegerRule(minimumSlots, MAXIMUM_COUNT),
      default: 1,
      meaning: 'Tasks that may run at the same time.',
    },
  ]);
}

function keyReader(key: string): (value: unknown) => unknown {
  return value =>
    typeof value === 'object' && value !== null
      ? (value as Readonly<Record<string, unknown>>)[key]
      : undefined;
}

const zoneTable = new tomlSchema.TableRule([
  {key: 'name', rule: nameRule, meaning: 'Name of the availability zone.'},
  {key: 'region', rule: nameRule, meaning: 'Region in which the zone is.'},
]);

const workerShapeTable = new tomlSchema.TableRule([
  {
    key: 'capacity',
    rule: resourcesRule(1, 1, 1),
    meaning: 'Capacity of one empty worker of this shape.',
  },
  {
    key: 'connections',
    rule: new tomlSchema.IntegerRule(1, 65_535),
    default: DEFAULT_CONNECTIONS,
    meaning: 'Connections that one worker accepts.',
  },
  {
    key: 'zones',
    rule: new tomlSchema.ListRule(nameRule, 1, 1_000),
    meaning: 'Zones with workers of this shape.',
  },
]);

/** Schema of the document `fleet`. */
export const FLEET_SCHEMA = new tomlSchema.TableRule([
  {
    key: 'zones',
    rule: new tomlSchema.ListRule(zoneTable, 1, 1_000, keyReader('name')),
    meaning: 'The availability zones of the cell.',
  },
  {
    key: 'workerShapes',
    rule: new tomlSchema.ListRule(workerShapeTable, 0, 1_000, () => undefined),
    meaning: 'The shapes of workers. A job that fits none is refused.',
  },
]);

const workloadTable = new tomlSchema.TableRule([
  {key: 'name', rule: nameRule, meaning: 'Name, unique within the team.'},
  {
    key: 'kind',
    rule: new tomlSchema.ChoiceRule(['service', 'batch', 'gang']),
    meaning:
      'A service is long-running, a batch ends, a gang starts as a whole.',
  },
  {
    key: 'urgency',
    rule: new tomlSchema.ChoiceRule(workload.URGENCY_LEVELS),
    default: 'normal',
    meaning: "Order within the team's share.",
  },
  {
    key: 'worth',
    rule: new tomlSchema.IntegerRule(0, 1_000_000_000),
    default: 1,
    meaning: 'Value of one request; orders requests of equal urgency.',
  },
  {
    key: 'idempotent',
    rule: new tomlSchema.BooleanRule(),
    meaning: 'Whether a task may safely run twice.',
  },
  {
    key: 'size',
    rule: resourcesRule(0, 0, 0),
    meaning: 'Declared size of one task.',
  },
  {
    key: 'runTimeMs',
    rule: new tomlSchema.IntegerRule(0, MAXIMUM_DURATION_MS),
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
    rule: new tomlSchema.IntegerRule(0, MAXIMUM_DURATION_MS),
    default: 0,
    unit: 'ms',
    meaning: 'Longest wait for a start; 0 means no deadline.',
  },
  {
    key: 'zones',
    rule: zoneNamesRule,
    default: [],
    meaning: 'Zones of `fleet` in which tasks may run; empty means all.',
  },
  {
    key: 'maximumPerRack',
    rule: new tomlSchema.IntegerRule(0, 10_000),
    default: 0,
    meaning: 'Maximum tasks of one request per rack; 0 means no limit.',
  },
]);

/** Schema of the documents `team/<name>`. */
export const TEAM_SCHEMA = new tomlSchema.TableRule([
  {
    key: 'name',
    rule: nameRule,
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
    meaning: "Upper limit of the capacity that the team's tasks reserve.",
  },
  {
    key: 'share',
    rule: new tomlSchema.NumberRule(0.001, 1_000),
    default: 1,
    meaning: 'Weight among teams that compete for the same capacity.',
  },
  {
    key: 'queueLimit',
    rule: new tomlSchema.IntegerRule(1, 1_000_000),
    default: 1_000,
    meaning: 'Requests that may wait; more are refused.',
  },
  {
    key: 'workloads',
    rule: new tomlSchema.ListRule(workloadTable, 1, 1_000, keyReader('name')),
    meaning: 'Workloads of the team.',
  },
]);
