import type * as job from './job.js';

/** What an organisation may have running at a time; 0 means no limit. */
export interface Quota {
  /** Thousandths of a processor. */
  readonly processors: number;
  /** Mebibytes. */
  readonly memory: number;
  /** Whole accelerators. */
  readonly accelerators: number;
}

/** An organisation whose callers submit jobs. */
export interface Organisation {
  readonly name: string;
  /** Keys of its callers; a configuration without a key withdraws it. */
  readonly apiKeys: ReadonlyArray<string>;
  readonly quota: Quota;
}

/** Who makes a call. */
export type Caller =
  /** The queue asks for no key. */
  | {readonly kind: 'anonymous'}
  | {readonly kind: 'organisation'; readonly name: string}
  /** The call has no key, or one that the configuration doesn't hold. */
  | {readonly kind: 'unknown'};

/** Returns who calls a queue with a key, by a configuration. */
export function callerOf(
  {organisations}: job.OperatorConfiguration,
  queue: job.Queue,
  apiKey: string | undefined,
): Caller {
  // Configurations without organisations know no keys.
  if (organisations === undefined || queue.isPublic) return {kind: 'anonymous'};
  if (apiKey === undefined) return {kind: 'unknown'};
  const owner = organisations.find(({apiKeys}) => apiKeys.includes(apiKey));
  if (owner === undefined) return {kind: 'unknown'};
  return {kind: 'organisation', name: owner.name};
}
