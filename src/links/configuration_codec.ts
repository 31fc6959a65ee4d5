import * as purify from 'purify-ts';
import * as job from '../jobs/job.js';

/** Rule on one value, with the text that completes "must be ...". */
function valueCodec<Value>(
  requirement: string,
  isValid: (value: unknown) => value is Value,
): purify.Codec<Value> {
  return purify.Codec.custom<Value>({
    decode: value =>
      isValid(value)
        ? purify.Right(value)
        : purify.Left(`must be ${requirement}`),
    encode: value => value,
  });
}

const WHOLE_NUMBER = valueCodec(
  'a whole number of at least 0',
  (value): value is number => Number.isSafeInteger(value) && Number(value) >= 0,
);

const POSITIVE_WHOLE_NUMBER = valueCodec(
  'a whole number of at least 1',
  (value): value is number => Number.isSafeInteger(value) && Number(value) >= 1,
);

const QUANTITY = valueCodec(
  'a finite number of at least 0',
  (value): value is number => Number.isFinite(value) && Number(value) >= 0,
);

const NAME = valueCodec(
  'a string of at least one character',
  (value): value is string => typeof value === 'string' && value !== '',
);

const PATH_PREFIX = valueCodec(
  'a string that begins with /',
  (value): value is string =>
    typeof value === 'string' && value.startsWith('/'),
);

const QUEUE = purify.Codec.interface({
  name: NAME,
  label: purify.optional(NAME),
  host: purify.string,
  pathPrefix: PATH_PREFIX,
  service: NAME,
  priority: WHOLE_NUMBER,
  attempts: POSITIVE_WHOLE_NUMBER,
  stretch: QUANTITY,
  objectiveMs: QUANTITY,
  timeoutMs: QUANTITY,
  isPublic: purify.optional(purify.boolean),
  advice: purify.optional(
    purify.Codec.interface({
      decideMs: QUANTITY,
      eachMs: QUANTITY,
      validMs: QUANTITY,
    }),
  ),
});

const ORGANISATION = purify.Codec.interface({
  name: NAME,
  apiKeys: purify.array(purify.string),
  quota: purify.Codec.interface({
    processors: QUANTITY,
    memory: QUANTITY,
    accelerators: QUANTITY,
  }),
});

const CONFIGURATION = purify.Codec.interface({
  version: POSITIVE_WHOLE_NUMBER,
  queues: purify.array(QUEUE),
  organisations: purify.optional(purify.array(ORGANISATION)),
  bodyBytes: POSITIVE_WHOLE_NUMBER,
  headerTimeoutMs: QUANTITY,
  idleTimeoutMs: QUANTITY,
});

/** Returns whether a value is the valid definition of a queue. */
export function isQueue(value: unknown): value is job.Queue {
  return QUEUE.decode(value).isRight();
}

/**
 * Checks an operator's configuration, whether it comes from the store or from
 * another member. An invalid one is rejected whole; the error names the field.
 */
export function checkConfiguration(
  value: unknown,
): purify.Either<string, job.OperatorConfiguration> {
  return CONFIGURATION.decode(value).map(configuration => ({
    ...configuration,
    queues: configuration.queues.map(job.identify),
  }));
}
