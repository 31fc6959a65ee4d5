import type * as linkFault from '../stand_ins/link_fault.js';
import type * as switchedLink from '../stand_ins/switched_link.js';
import type * as randomSource from '../src/machines/random_source.js';

/** Which availability zones are cut off. */
export type ZoneChoice =
  /** The zone of the leader of that time. */
  | 'leader'
  /** The leader's zone and another, which still reach each other. */
  | 'leaderAndOther'
  /** The zones of the cut before. */
  | 'previous';

/** How a group loses contact: its links fail, or its VMs are suspended. */
export type CutKind = 'links' | 'suspension';

/** A further fault while a zone is cut off. */
export type DisruptionKind =
  /** Nobody reaches the store. */
  | 'storeSilence'
  /** A process ends by SIGKILL and is replaced. */
  | 'kill'
  /** A process ends by SIGTERM and is replaced. */
  | 'terminate'
  /** All processes of the group restart one by one. */
  | 'rollingRestart'
  /** A process is suspended and resumed. */
  | 'suspend'
  /** A worker loses its state and comes back under its id. */
  | 'crashWorker';

/** One further fault, in times since the beginning of the cut. */
export interface DisruptionPlan {
  readonly kind: DisruptionKind;
  /** Whether it concerns the group that is cut off. */
  readonly isInside: boolean;
  readonly startMs: number;
  readonly durationMs: number;
}

/** One cut with everything that happens during it. */
export interface CutPlan {
  /** Time between the cut before, or the start of the load, and this one. */
  readonly leadMs: number;
  readonly zones: ZoneChoice;
  readonly kind: CutKind;
  readonly direction: linkFault.CutDirection;
  readonly spared: linkFault.SparedLinks;
  readonly ending: switchedLink.FaultEnding;
  /** Workers of the cut zones that are cut off with them, at most. */
  readonly workersInside: number;
  readonly durationMs: number;
  /** Time between the end of a leader by SIGKILL and the cut; 0 for none. */
  readonly leaderKilledMs: number;
  readonly disruptions: ReadonlyArray<DisruptionPlan>;
}

/** A range of durations, in milliseconds. */
interface DurationRange {
  readonly minimumMs: number;
  readonly maximumMs: number;
}

/** Cuts around a lease, a takeover, and the limit of a majority's word. */
const CUT_DURATIONS: ReadonlyArray<DurationRange> = [
  {minimumMs: 1_000, maximumMs: 5_000},
  {minimumMs: 5_000, maximumMs: 9_000},
  {minimumMs: 9_000, maximumMs: 14_000},
  {minimumMs: 9_000, maximumMs: 14_000},
  {minimumMs: 14_000, maximumMs: 24_000},
  {minimumMs: 24_000, maximumMs: 40_000},
];

const LEAD_DURATION: DurationRange = {minimumMs: 500, maximumMs: 6_000};
const LEADER_KILLED_DURATION: DurationRange = {
  minimumMs: 1_500,
  maximumMs: 8_000,
};

/** Cuts of a run, and the time after which no other one begins. */
const MAXIMUM_CUTS = 3;
const MAXIMUM_CUT_TIME_MS = 30_000;

/** Most further faults of a cut. */
const MAXIMUM_DISRUPTIONS = 3;

/** A process or worker may be back before anybody has noticed. */
const SHORT_DISRUPTION_MS = 1_000;

const ALL_WORKERS = Number.MAX_SAFE_INTEGER;

const ZONE_CHOICES: ReadonlyArray<ZoneChoice> = [
  'leader',
  'leader',
  'leaderAndOther',
  'previous',
];
const DIRECTIONS: ReadonlyArray<linkFault.CutDirection> = [
  'both',
  'both',
  'outbound',
  'inbound',
];
const SPARED_LINKS: ReadonlyArray<linkFault.SparedLinks> = [
  'none',
  'none',
  'none',
  'workers',
  'allButStore',
];
const WORKER_COUNTS = [0, 1, 3, ALL_WORKERS];
const DISRUPTION_KINDS: ReadonlyArray<DisruptionKind> = [
  'storeSilence',
  'kill',
  'terminate',
  'rollingRestart',
  'suspend',
  'crashWorker',
];

/** Returns the cuts of a seed. */
export function planCuts(
  random: randomSource.RandomSource,
): ReadonlyArray<CutPlan> {
  const cuts: CutPlan[] = [];
  const count = 1 + random.below(MAXIMUM_CUTS);
  let cutTimeMs = 0;
  while (cuts.length < count && cutTimeMs < MAXIMUM_CUT_TIME_MS) {
    const cut = planCut(random);
    const isFirst = cuts.length === 0;
    const zones = isFirst && cut.zones === 'previous' ? 'leader' : cut.zones;
    cuts.push({...cut, zones});
    cutTimeMs += cut.durationMs;
  }
  return cuts;
}

/** Returns a cut as one word for the line of a run. */
export function describeCut(cut: CutPlan): string {
  const {workersInside, durationMs, leaderKilledMs, disruptions} = cut;
  const further = disruptions.map(
    ({kind, isInside}) => `${kind}${isInside ? 'Inside' : 'Outside'}`,
  );
  return [
    cut.zones,
    cut.kind,
    cut.direction,
    `spares-${cut.spared}`,
    cut.ending,
    `workers-${workersInside === ALL_WORKERS ? 'all' : workersInside}`,
    `${durationMs}ms`,
    ...(leaderKilledMs > 0 ? [`leaderKilled-${leaderKilledMs}ms`] : []),
    ...further,
  ].join('/');
}

function planCut(random: randomSource.RandomSource): CutPlan {
  const durationMs = drawDuration(random, pick(random, CUT_DURATIONS));
  const isLeaderKilled = random.below(4) === 0;
  const disruptionCount = random.below(MAXIMUM_DISRUPTIONS + 1);
  return {
    leadMs: drawDuration(random, LEAD_DURATION),
    zones: pick(random, ZONE_CHOICES),
    kind: random.below(8) === 0 ? 'suspension' : 'links',
    direction: pick(random, DIRECTIONS),
    spared: pick(random, SPARED_LINKS),
    ending: random.below(3) === 0 ? 'reset' : 'deliver',
    workersInside: pick(random, WORKER_COUNTS),
    durationMs,
    leaderKilledMs: isLeaderKilled
      ? drawDuration(random, LEADER_KILLED_DURATION)
      : 0,
    disruptions: Array.from({length: disruptionCount}, () =>
      planDisruption(random, durationMs),
    ),
  };
}

function planDisruption(
  random: randomSource.RandomSource,
  cutMs: number,
): DisruptionPlan {
  const kind = pick(random, DISRUPTION_KINDS);
  const startMs = random.below(cutMs);
  const isShort = random.below(2) === 0;
  const spreadMs = isShort ? SHORT_DISRUPTION_MS : cutMs - startMs;
  return {
    kind,
    isInside: kind === 'rollingRestart' || random.below(2) === 0,
    startMs,
    durationMs: 1 + random.below(spreadMs),
  };
}

function drawDuration(
  random: randomSource.RandomSource,
  {minimumMs, maximumMs}: DurationRange,
): number {
  return minimumMs + random.below(maximumMs - minimumMs);
}

function pick<Item>(
  random: randomSource.RandomSource,
  items: ReadonlyArray<Item>,
): Item {
  return items[random.below(items.length)];
}
