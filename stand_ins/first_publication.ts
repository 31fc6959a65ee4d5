import type * as configurationHistory from '../src/contracts/configuration_history.js';

/** Encodes the record of the log that publishes a document's first version. */
export function encode(
  document: string,
  content: string,
  publication: string,
): string {
  const record: configurationHistory.PublishRecord = {
    kind: 'publish',
    document,
    baseVersion: 0,
    content,
    publication,
  };
  return JSON.stringify(record);
}
