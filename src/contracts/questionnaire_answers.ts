import type * as resources from '../machines/resources.js';

/** How bad it is when a request starts late. */
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

/** All answers of one operator. */
export interface QuestionnaireAnswers {
  readonly operator: string;
  readonly zones: ReadonlyArray<{
    readonly name: string;
    readonly region: string;
  }>;
  readonly workers: ReadonlyArray<WorkerAnswers>;
  readonly teams: ReadonlyArray<TeamAnswers>;
}

/** A value of a document and the answer from which it came. */
export interface DerivedValue {
  readonly key: string;
  readonly value: string | number | boolean | ReadonlyArray<string>;
  /** Path of the answer; empty when the value follows from none. */
  readonly answer: string;
  /** How the value follows from the answer. */
  readonly note: string;
}

/** A part of a document; the path of its top level is empty. */
export interface DerivedTable {
  readonly path: string;
  /** Whether the table is one of a list of tables. */
  readonly repeated: boolean;
  readonly values: ReadonlyArray<DerivedValue>;
}

/** A document as it follows from the answers. */
export interface DerivedDocument {
  readonly name: string;
  readonly tables: ReadonlyArray<DerivedTable>;
}

/** Thousandths in a processor. */
const THOUSANDTHS_PER_PROCESSOR = 1_000;

/** MiB in a GiB. */
const MIB_PER_GIB = 1_024;

const MS_PER_MINUTE = 60_000;

const MINUTES_PER_HOUR = 60;

/** Least length of a queue, so that a rare kind of work can wait too. */
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

/** Returns what the answers contradict each other in, one text each. */
export function findContradictions(
  answers: QuestionnaireAnswers,
): ReadonlyArray<string> {
  return answers.teams.flatMap((team, teamPosition) =>
    team.work.flatMap((work, position) => {
      const place = `teams[${teamPosition}].work[${position}]`;
      return workContradictions(work, place, answers.workers);
    }),
  );
}

function workContradictions(
  work: WorkAnswers,
  place: string,
  workers: ReadonlyArray<WorkerAnswers>,
): ReadonlyArray<string> {
  const faults: string[] = [];
  const fits = workers.some(
    worker =>
      work.processors <= worker.processors &&
      work.memoryGiB <= worker.memoryGiB &&
      work.accelerators <= worker.accelerators,
  );
  if (!fits) faults.push(`${place}: ${work.name} fits no worker of the fleet`);
  if (work.endsByItself && work.minutes === 0) {
    faults.push(`${place}.minutes: 0 must be above 0 for work that ends`);
  }
  if (!work.endsByItself && !work.mayRunTwice) {
    faults.push(
      `${place}.mayRunTwice: false must be true for work that does not end, ` +
        'because its lost tasks are replaced',
    );
  }
  return faults;
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
  place: string,
): ReadonlyArray<DerivedTable> {
  return [
    {
      path: 'workerShapes',
      repeated: true,
      values: [
        derived('zones', worker.zones, `${place}.zones`),
        derived('connections', worker.connections, `${place}.connections`),
      ],
    },
    {
      path: 'workerShapes.capacity',
      repeated: false,
      values: deriveResources(
        worker,
        place,
        derived('slots', worker.slots, `${place}.slots`),
      ),
    },
  ];
}

function deriveResources(
  stated: Pick<WorkerAnswers, 'processors' | 'memoryGiB' | 'accelerators'>,
  place: string,
  slots: DerivedValue,
): ReadonlyArray<DerivedValue> {
  return [
    derived(
      'processors',
      Math.ceil(stated.processors * THOUSANDTHS_PER_PROCESSOR),
      `${place}.processors`,
      `= ${stated.processors}, in thousandths`,
    ),
    derived(
      'memory',
      Math.ceil(stated.memoryGiB * MIB_PER_GIB),
      `${place}.memoryGiB`,
      `= ${stated.memoryGiB}, in MiB`,
    ),
    derived('accelerators', stated.accelerators, `${place}.accelerators`),
    slots,
  ];
}

function deriveTeam(
  answers: QuestionnaireAnswers,
  team: TeamAnswers,
  place: string,
): DerivedDocument {
  const workloads = team.work.flatMap((work, position) =>
    deriveWorkload(work, `${place}.work[${position}]`),
  );
  return {
    name: `team/${team.name}`,
    tables: [
      {
        path: '',
        repeated: false,
        values: [
          derived('name', team.name, `${place}.name`),
          derived('clients', team.clients, `${place}.clients`),
          derived('share', team.weight, `${place}.weight`),
          deriveQueueLimit(team, place),
        ],
      },
      {
        path: 'quota',
        repeated: false,
        values: deriveQuota(answers.workers, team.fleetPercent, place),
      },
      ...workloads,
    ],
  };
}

function deriveQueueLimit(team: TeamAnswers, place: string): DerivedValue {
  const perHour = team.work.reduce((sum, work) => sum + work.perBusyHour, 0);
  const waiting = (perHour * team.backlogMinutes) / MINUTES_PER_HOUR;
  return derived(
    'queueLimit',
    Math.max(MINIMUM_QUEUE_LIMIT, Math.ceil(waiting)),
    `${place}.backlogMinutes`,
    `= ${team.backlogMinutes} at the sum of ` +
      `work[].perBusyHour = ${perHour}, at least ${MINIMUM_QUEUE_LIMIT}`,
  );
}

function deriveQuota(
  workers: ReadonlyArray<WorkerAnswers>,
  percent: number,
  place: string,
): ReadonlyArray<DerivedValue> {
  const whole = wholeFleet(workers);
  const answer = `${place}.fleetPercent`;
  const note = `= ${percent} of the fleet's`;
  const part = (quantity: number): number =>
    Math.floor((quantity * percent) / 100);
  return [
    derived(
      'processors',
      part(whole.processors),
      answer,
      `${note} ${whole.processors}`,
    ),
    derived('memory', part(whole.memory), answer, `${note} ${whole.memory}`),
    derived(
      'accelerators',
      part(whole.accelerators),
      answer,
      `${note} ${whole.accelerators}`,
    ),
    derived('slots', part(whole.slots), answer, `${note} ${whole.slots}`),
  ];
}

function wholeFleet(
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
  place: string,
): ReadonlyArray<DerivedTable> {
  return [
    {
      path: 'workloads',
      repeated: true,
      values: [
        derived('name', work.name, `${place}.name`),
        deriveKind(work, place),
        deriveUrgency(work, place),
        derived('worth', work.valueOfOne, `${place}.valueOfOne`),
        derived('idempotent', work.mayRunTwice, `${place}.mayRunTwice`),
        deriveRunTime(work, place),
        derived('taskCount', work.machinesAtOnce, `${place}.machinesAtOnce`),
        derived(
          'startDeadlineMs',
          Math.round(work.uselessAfterMinutes * MS_PER_MINUTE),
          `${place}.uselessAfterMinutes`,
          `= ${work.uselessAfterMinutes}`,
        ),
        derived('zones', work.onlyInZones, `${place}.onlyInZones`),
        derivePerRack(work, place),
      ],
    },
    {
      path: 'workloads.size',
      repeated: false,
      values: deriveResources(
        work,
        place,
        derived('slots', 1, '', 'a task takes one slot'),
      ),
    },
  ];
}

function deriveKind(work: WorkAnswers, place: string): DerivedValue {
  if (!work.endsByItself) {
    return derived('kind', 'service', `${place}.endsByItself`, '= false');
  }
  const kind = work.machinesAtOnce > 1 ? 'gang' : 'batch';
  const note = `= ${work.machinesAtOnce}`;
  return derived('kind', kind, `${place}.machinesAtOnce`, note);
}

function deriveUrgency(work: WorkAnswers, place: string): DerivedValue {
  const note = `= "${work.whenLate}"`;
  const urgencies = ['deferrable', 'normal', 'urgent'];
  const urgency =
    urgencies[LATENESS_ANSWERS.indexOf(work.whenLate)] ?? 'normal';
  return derived('urgency', urgency, `${place}.whenLate`, note);
}

function deriveRunTime(work: WorkAnswers, place: string): DerivedValue {
  if (!work.endsByItself) {
    return derived('runTimeMs', 0, `${place}.endsByItself`, '= false');
  }
  return derived(
    'runTimeMs',
    Math.round(work.minutes * MS_PER_MINUTE),
    `${place}.minutes`,
    `= ${work.minutes}`,
  );
}

/** Half of the tasks may share a rack when the rest has to survive it. */
function derivePerRack(work: WorkAnswers, place: string): DerivedValue {
  const answer = `${place}.survivesRackLoss`;
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
