import * as assert from 'node:assert/strict';
import * as fastCheck from 'fast-check';
import * as nodeTest from 'node:test';
import * as configurationStoreHarness from '../support/configuration_store_harness.js';
import type * as event from '../../src/contracts/event.js';

const SEED = 20261204;
const RUNS = 600;

type Action =
  | {readonly kind: 'time'; readonly store: number; readonly ms: number}
  | {
      readonly kind: 'serve';
      readonly store: number;
      readonly position: number;
      readonly lost: boolean;
      readonly limit: number;
    }
  | {
      readonly kind: 'arrive';
      readonly store: number;
      readonly position: number;
      readonly keep: boolean;
    }
  | {
      readonly kind: 'publish';
      readonly store: number;
      readonly document: string;
      readonly behind: number;
    }
  | {readonly kind: 'repeat'; readonly store: number; readonly which: number}
  | {readonly kind: 'peer'; readonly from: number; readonly to: number}
  | {readonly kind: 'trim'; readonly first: number}
  | {readonly kind: 'snapshot'; readonly lag: number}
  | {readonly kind: 'replace'; readonly store: number};

const storeIndex = fastCheck.nat({max: 1});

const action: fastCheck.Arbitrary<Action> = fastCheck.oneof(
  {
    weight: 4,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('time' as const),
      store: storeIndex,
      ms: fastCheck.constantFrom(1, 1_000, 3_000, 70_000, 260_000),
    }),
  },
  {
    weight: 5,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('serve' as const),
      store: storeIndex,
      position: fastCheck.nat({max: 5}),
      lost: fastCheck.boolean(),
      limit: fastCheck.constantFrom(1, 3, 500),
    }),
  },
  {
    weight: 5,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('arrive' as const),
      store: storeIndex,
      position: fastCheck.nat({max: 5}),
      keep: fastCheck.boolean(),
    }),
  },
  {
    weight: 4,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('publish' as const),
      store: storeIndex,
      document: fastCheck.constantFrom('fleet', 'team/a', 'team/b'),
      behind: fastCheck.constantFrom(0, 0, 0, 1),
    }),
  },
  {
    weight: 1,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('repeat' as const),
      store: storeIndex,
      which: fastCheck.nat({max: 30}),
    }),
  },
  {
    weight: 2,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('peer' as const),
      from: storeIndex,
      to: storeIndex,
    }),
  },
  {
    weight: 2,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('snapshot' as const),
      lag: fastCheck.nat({max: 6}),
    }),
  },
  {
    weight: 2,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('trim' as const),
      first: fastCheck.nat({max: 60}),
    }),
  },
  {
    weight: 1,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('replace' as const),
      store: storeIndex,
    }),
  },
);

type Publish = Extract<event.Event, {readonly kind: 'publishArrived'}>;

/** Two stores on one log, driven by a list of random actions. */
class StoreRun {
  readonly log = new configurationStoreHarness.TrimmedLog();
  readonly stores = [
    new configurationStoreHarness.ConfigurationStoreHarness(this.log),
    new configurationStoreHarness.ConfigurationStoreHarness(this.log),
  ];
  readonly published: Publish[] = [];
  private readonly calls = new Map<number, Publish>();
  private now = 0;
  private nextCall = 1;

  perform(performed: Action): void {
    const versionsBefore = this.stores.map(store => store.versions());
    this.apply(performed);
    if (performed.kind === 'replace') return;
    this.stores.forEach((store, index) => {
      for (const [document, version] of versionsBefore[index]) {
        const after = store.versions().get(document) ?? 0;
        assert.ok(after >= version, `${document} fell to ${after}`);
      }
    });
  }

  finish(): void {
    for (const store of this.stores) this.now = store.settle(this.now, 20);
    for (const store of this.stores) this.now = store.settle(this.now, 20);
  }

  /** Returns the versions by a replay of all records, trimmed ones included. */
  expectedVersions(): ReadonlyMap<string, number> {
    return new Map(
      [...this.acceptedPublications().values()].map(publication => [
        publication.document,
        publication.version,
      ]),
    );
  }

  /** Returns the publications that were answered with a result code. */
  answeredWith(code: number): ReadonlyArray<Publish> {
    return [...this.calls]
      .filter(([call]) =>
        this.stores.some(store => store.replies.get(call)?.code === code),
      )
      .map(([, publish]) => publish);
  }

  /** Returns the accepted publications of the whole history, by identity. */
  acceptedPublications(): ReadonlyMap<
    string,
    {document: string; version: number}
  > {
    const versions = new Map<string, number>();
    const accepted = new Map<string, {document: string; version: number}>();
    for (const record of this.log.history) {
      const parsed = JSON.parse(record.data) as Publish;
      if ((parsed.kind as string) !== 'publish') continue;
      const current = versions.get(parsed.document) ?? 0;
      if (parsed.baseVersion !== current) continue;
      const version = record.offset + 1;
      versions.set(parsed.document, version);
      accepted.set(parsed.publication, {document: parsed.document, version});
    }
    return accepted;
  }

  private apply(performed: Action): void {
    switch (performed.kind) {
      case 'time':
        this.now += performed.ms;
        this.stores[performed.store].handle({kind: 'timePassed'}, this.now);
        return;
      case 'serve':
        this.stores[performed.store].serve(
          performed.position,
          this.now,
          performed.lost,
          performed.limit,
        );
        return;
      case 'arrive':
        this.stores[performed.store].deliver(
          performed.position,
          this.now,
          performed.keep,
        );
        return;
      case 'publish':
        return this.publish(
          performed.store,
          performed.document,
          performed.behind,
        );
      case 'repeat':
        return this.repeat(performed.store, performed.which);
      case 'peer':
        return this.transferDocuments(performed.from, performed.to);
      case 'trim':
        this.log.trimThroughSnapshot(performed.first);
        return;
      case 'snapshot':
        this.log.appendSnapshot(performed.lag);
        return;
      case 'replace':
        this.stores[performed.store].restart();
        return;
    }
  }

  private publish(index: number, document: string, behind: number): void {
    const store = this.stores[index];
    const current = store.versions().get(document) ?? 0;
    const number = this.published.length;
    const name = document.replace('team/', '');
    this.send(index, {
      kind: 'publishArrived',
      call: 0,
      document,
      baseVersion: Math.max(0, current - behind),
      content: document === 'fleet' ? `zone-${number}` : `${name} ${number}`,
      publication: `publication-${number}`,
    });
  }

  private repeat(index: number, which: number): void {
    if (this.published.length === 0) return;
    this.send(index, this.published[which % this.published.length]);
  }

  private send(index: number, publish: Publish): void {
    const call = this.nextCall;
    this.nextCall += 1;
    this.published.push(publish);
    this.calls.set(call, publish);
    this.stores[index].handle({...publish, call}, this.now);
  }

  private transferDocuments(from: number, to: number): void {
    const have = [...this.stores[to].versions()].map(([name, version]) => ({
      name,
      version,
    }));
    const answered = this.stores[from].handle(
      {kind: 'fetchDocumentsArrived', call: 0, have},
      this.now,
    );
    for (const answer of answered) {
      if (answer.kind !== 'answerDocuments') continue;
      const {documents} = answer;
      this.stores[to].handle({kind: 'documentsArrived', documents}, this.now);
    }
  }
}

nodeTest.describe('configuration under any order of events', () => {
  nodeTest.test(
    'stores that read to the end agree, no accepted version reverts, and one ' +
      'publication from each base is accepted; guards against an old version ' +
      'restored by a snapshot, a repeat or a peer',
    () => {
      fastCheck.assert(
        fastCheck.property(
          fastCheck.array(action, {minLength: 60, maxLength: 200, size: 'max'}),
          actions => {
            const run = new StoreRun();
            for (const next of actions) run.perform(next);
            run.finish();
            const expected = [...run.expectedVersions()].sort();
            for (const store of run.stores) {
              assert.deepEqual([...store.versions()].sort(), expected);
              assert.ok(
                !store.counts.some(name => name.startsWith('invariant')),
              );
            }
            const accepted = run.acceptedPublications();
            const acceptedByBase = new Map<string, string>();
            for (const publish of run.answeredWith(0)) {
              assert.ok(accepted.has(publish.publication));
              const base = `${publish.document} ${publish.baseVersion}`;
              assert.ok(
                [undefined, publish.publication].includes(
                  acceptedByBase.get(base),
                ),
              );
              acceptedByBase.set(base, publish.publication);
            }
            for (const refused of run.answeredWith(6001)) {
              assert.ok(
                !accepted.has(refused.publication),
                'accepted, but got 6001',
              );
            }
          },
        ),
        {seed: SEED, numRuns: RUNS, includeErrorInReport: true},
      );
    },
  );
});
