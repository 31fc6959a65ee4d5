import type * as resources from '../machines/resources.js';

/** Answers for the effect of a late start, from the mildest to the worst. */
export const LATENESS_ANSWERS = [
  'nobody notices',
  'work piles up',
  'people stand idle',
];

/** Answers about workers of one shape. */
export interface WorkerAnswers {
  readonly zones: ReadonlyArray<string>;
  readonly countPerZone: number;
  readonly processors: number;
  readonly memoryGiB: number;
  readonly accelerators: number;
  readonly slots: number;
  readonly connections: number;
}

/** Answers about one kind of work. */
export interface WorkAnswers {
  readonly name: string;
  readonly endsByItself: boolean;
  readonly mayRunTwice: boolean;
  readonly machinesAtOnce: number;
  readonly whenLate: string;
  readonly valueOfOne: number;
  readonly processors: number;
  readonly memoryGiB: number;
  readonly accelerators: number;
  readonly minutes: number;
  readonly uselessAfterMinutes: number;
  readonly onlyInZones: ReadonlyArray<string>;
  readonly survivesRackLoss: boolean;
  readonly perBusyHour: number;
}

/** Answers of one team. */
export interface TeamAnswers {
  readonly name: string;
  readonly clients: ReadonlyArray<string>;
  readonly fleetPercent: number;
  readonly weight: number;
  readonly backlogMinutes: number;
  readonly work: ReadonlyArray<WorkAnswers>;
}

/** Complete answers of one operator. */
export interface QuestionnaireAnswers {
  readonly operator: string;
  readonly zones: ReadonlyArray<{
    readonly name: string;
    readonly region: string;
  }>;
  readonly workers: ReadonlyArray<WorkerAnswers>;
  readonly teams: ReadonlyArray<TeamAnswers>;
}

/** A value of a document and the answer from which it was derived. */
export interface DerivedValue {
  readonly key: string;
  readonly value: string | number | boolean | ReadonlyArray<string>;
  /** Path of the answer; empty if the value follows from none. */
  readonly answer: string;
  /** Explains how the value follows from the answer. */
  readonly note: string;
}

/** A table of a document; the path of the top level is empty. */
export interface DerivedTable {
  readonly path: string;
  /** Whether the table is an element of an array of tables. */
  readonly repeated: boolean;
  readonly values: ReadonlyArray<DerivedValue>;
}

/** A document derived from the answers. */
export interface DerivedDocument {
  readonly name: string;
  readonly tables: ReadonlyArray<DerivedTable>;
}

const THOUSANDTHS_PER_PROCESSOR = 1_000;

const MIB_PER_GIB = 1_024;

const MS_PER_MINUTE = 60_000;

const MINUTES_PER_HOUR = 60;

/** Minimum queue limit, so that a rare kind of work can be queued too. */
const MINIMUM_QUEUE_LIMIT = 10;

/** Derives the documents of an operator from the answers. */
export function deriveDocuments(
  answers: QuestionnaireAnswers,
): ReadonlyArray<DerivedDocument> {
  return [
    deriveFleet(answers),
    ...answers.teams.map((team, position) =>
      deriveTeam(answers, team, `teams[${position}]`),
    ),
  ];
}

/** Returns a text for each contradiction between the answers. */
export function findContradictions(
  answers: QuestionnaireAnswers,
): ReadonlyArray<string> {
  return answers.teams.flatMap((team, teamPosition) =>
    team.work.flatMap((work, position) => {
      const path = `teams[${teamPosition}].work[${position}]`;
      return workContradictions(work, path, answers.workers);
    }),
  );
}

function workContradictions(
  work: WorkAnswers,
  path: string,
  workers: ReadonlyArray<WorkerAnswers>,
): ReadonlyArray<string> {
  const contradictions: string[] = [];
  const fits = workers.some(
    worker =>
      work.processors <= worker.processors &&
      work.memoryGiB <= worker.memoryGiB &&
      work.accelerators <= worker.accelerators,
  );
  if (!fits) {
    contradictions.push(
      `${path}: ${work.name} fits no worker of the fleet; ` +
        'reduce its size or add a larger worker',
    );
  }
  if (work.endsByItself && work.minutes === 0) {
    contradictions.push(
      `${path}.minutes: 0 must be above 0 for work that ends`,
    );
  }
  if (!work.endsByItself && !work.mayRunTwice) {
    contradictions.push(
      `${path}.mayRunTwice: false must be true for work that does not end, ` +
        'because its lost tasks are replaced',
    );
  }
  return contradictions;
}

function deriveFleet(answers: QuestionnaireAnswers): DerivedDocument {
  const zones = answers.zones.map((zone, position) => ({
    path: 'zones',
    repeated: true,
    values: [
      derived('name', zone.name, `zones[${position}].name`),
      derived('region', zone.region, `zones[${position}].region`),
    ],
  }));
  const shapes = answers.workers.flatMap((worker, position) =>
    deriveShape(worker, `workers[${position}]`),
  );
  return {name: 'fleet', tables: [...zones, ...shapes]};
}

function deriveShape(
  worker: WorkerAnswers,
  path: string,
): ReadonlyArray<DerivedTable> {
  return [
    {
      path: 'workerShapes',
      repeated: true,
      values: [
        derived('zones', worker.zones, `${path}.zones`),
        derived('connections', worker.connections, `${path}.connections`),
      ],
    },
    {
      path: 'workerShapes.capacity',
      repeated: false,
      values: deriveResources(
        worker,
        path,
        derived('slots', worker.slots, `${path}.slots`),
      ),
    },
  ];
}

function deriveResources(
  stated: Pick<WorkerAnswers, 'processors' | 'memoryGiB' | 'accelerators'>,
  path: string,
  slots: DerivedValue,
): ReadonlyArray<DerivedValue> {
  return [
    derived(
      'processors',
      Math.ceil(stated.processors * THOUSANDTHS_PER_PROCESSOR),
      `${path}.processors`,
      `= ${stated.processors}, in thousandths`,
    ),
    derived(
      'memory',
      Math.ceil(stated.memoryGiB * MIB_PER_GIB),
      `${path}.memoryGiB`,
      `= ${stated.memoryGiB}, in MiB`,
    ),
    derived('accelerators', stated.accelerators, `${path}.accelerators`),
    slots,
  ];
}

function deriveTeam(
  answers: QuestionnaireAnswers,
  team: TeamAnswers,
  path: string,
): DerivedDocument {
  const workloads = team.work.flatMap((work, position) =>
    deriveWorkload(work, `${path}.work[${position}]`),
  );
  return {
    name: `team/${team.name}`,
    tables: [
      {
        path: '',
        repeated: false,
        values: [
          derived('name', team.name, `${path}.name`),
          derived('clients', team.clients, `${path}.clients`),
          derived('share', team.weight, `${path}.weight`),
          deriveQueueLimit(team, path),
        ],
      },
      {
        path: 'quota',
        repeated: false,
        values: deriveQuota(answers.workers, team.fleetPercent, path),
      },
      ...workloads,
    ],
  };
}

function deriveQueueLimit(team: TeamAnswers, path: string): DerivedValue {
  const perHour = team.work.reduce((sum, work) => sum + work.perBusyHour, 0);
  const waitingRequests = (perHour * team.backlogMinutes) / MINUTES_PER_HOUR;
  return derived(
    'queueLimit',
    Math.max(MINIMUM_QUEUE_LIMIT, Math.ceil(waitingRequests)),
    `${path}.backlogMinutes`,
    `= ${team.backlogMinutes} at the sum of ` +
      `work[].perBusyHour = ${perHour}, at least ${MINIMUM_QUEUE_LIMIT}`,
  );
}

function deriveQuota(
  workers: ReadonlyArray<WorkerAnswers>,
  percent: number,
  path: string,
): ReadonlyArray<DerivedValue> {
  const fleetCapacity = sumFleetCapacity(workers);
  const answer = `${path}.fleetPercent`;
  const note = `= ${percent} of the fleet's`;
  const teamPart = (quantity: number): number =>
    Math.floor((quantity * percent) / 100);
  return [
    derived(
      'processors',
      teamPart(fleetCapacity.processors),
      answer,
      `${note} ${fleetCapacity.processors}`,
    ),
    derived(
      'memory',
      teamPart(fleetCapacity.memory),
      answer,
      `${note} ${fleetCapacity.memory}`,
    ),
    derived(
      'accelerators',
      teamPart(fleetCapacity.accelerators),
      answer,
      `${note} ${fleetCapacity.accelerators}`,
    ),
    derived(
      'slots',
      teamPart(fleetCapacity.slots),
      answer,
      `${note} ${fleetCapacity.slots}`,
    ),
  ];
}

function sumFleetCapacity(
  workers: ReadonlyArray<WorkerAnswers>,
): resources.Resources {
  const sum = (quantity: (worker: WorkerAnswers) => number): number =>
    workers.reduce(
      (total, worker) =>
        total + quantity(worker) * worker.countPerZone * worker.zones.length,
      0,
    );
  return {
    processors: sum(worker => worker.processors * THOUSANDTHS_PER_PROCESSOR),
    memory: sum(worker => worker.memoryGiB * MIB_PER_GIB),
    accelerators: sum(worker => worker.accelerators),
    slots: sum(worker => worker.slots),
  };
}

function deriveWorkload(
  work: WorkAnswers,
  path: string,
): ReadonlyArray<DerivedTable> {
  return [
    {
      path: 'workloads',
      repeated: true,
      values: [
        derived('name', work.name, `${path}.name`),
        deriveKind(work, path),
        deriveUrgency(work, path),
        derived('worth', work.valueOfOne, `${path}.valueOfOne`),
        derived('idempotent', work.mayRunTwice, `${path}.mayRunTwice`),
        deriveRunTime(work, path),
        derived('taskCount', work.machinesAtOnce, `${path}.machinesAtOnce`),
        derived(
          'startDeadlineMs',
          Math.round(work.uselessAfterMinutes * MS_PER_MINUTE),
          `${path}.uselessAfterMinutes`,
          `= ${work.uselessAfterMinutes}`,
        ),
        derived('zones', work.onlyInZones, `${path}.onlyInZones`),
        deriveMaximumPerRack(work, path),
      ],
    },
    {
      path: 'workloads.size',
      repeated: false,
      values: deriveResources(
        work,
        path,
        derived('slots', 1, '', 'a task takes one slot'),
      ),
    },
  ];
}

function deriveKind(work: WorkAnswers, path: string): DerivedValue {
  if (!work.endsByItself) {
    return derived('kind', 'service', `${path}.endsByItself`, '= false');
  }
  const kind = work.machinesAtOnce > 1 ? 'gang' : 'batch';
  const note = `= ${work.machinesAtOnce}`;
  return derived('kind', kind, `${path}.machinesAtOnce`, note);
}

function deriveUrgency(work: WorkAnswers, path: string): DerivedValue {
  const note = `= "${work.whenLate}"`;
  const urgencies = ['deferrable', 'normal', 'urgent'];
  const urgency =
    urgencies[LATENESS_ANSWERS.indexOf(work.whenLate)] ?? 'normal';
  return derived('urgency', urgency, `${path}.whenLate`, note);
}

function deriveRunTime(work: WorkAnswers, path: string): DerivedValue {
  if (!work.endsByItself) {
    return derived('runTimeMs', 0, `${path}.endsByItself`, '= false');
  }
  return derived(
    'runTimeMs',
    Math.round(work.minutes * MS_PER_MINUTE),
    `${path}.minutes`,
    `= ${work.minutes}`,
  );
}

/** At most half of the tasks share a rack if the rest must survive its loss. */
function deriveMaximumPerRack(work: WorkAnswers, path: string): DerivedValue {
  const answer = `${path}.survivesRackLoss`;
  const note = `= ${work.survivesRackLoss}, machinesAtOnce = ${work.machinesAtOnce}`;
  const limit = work.survivesRackLoss ? Math.ceil(work.machinesAtOnce / 2) : 0;
  return derived('maximumPerRack', limit, answer, note);
}

function derived(
  key: string,
  value: DerivedValue['value'],
  answer: string,
  note = '',
): DerivedValue {
  return {key, value, answer, note};
}
