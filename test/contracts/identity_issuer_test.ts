import * as assert from 'node:assert/strict';
import * as fastCheck from 'fast-check';
import * as nodeTest from 'node:test';
import * as identityIssuer from '../../src/contracts/identity_issuer.js';
import * as randomSource from '../../src/machines/random_source.js';
import * as requestTable from '../../src/contracts/request_table.js';

const SEED = 20_261;

const HOUR_MS = 3_600_000;

function buildIssuer(): identityIssuer.IdentityIssuer {
  const random = new randomSource.SeededRandom(7);
  return new identityIssuer.IdentityIssuer('kigali-a.entry-1.0a', random);
}

/** Gaps between the issue times of identities, in milliseconds. */
const GAPS = fastCheck.array(fastCheck.integer({min: 0, max: HOUR_MS}), {
  minLength: 1,
  maxLength: 30,
});

nodeTest.describe('identity', () => {
  nodeTest.test(
    'is valid only for the client that it was issued to; guards against a ' +
      'client that reads the outcome of a request of another client',
    () => {
      const clients = fastCheck.string({maxLength: 8});
      const property = fastCheck.property(clients, clients, (owner, other) => {
        const issuer = buildIssuer();
        const issued = issuer.issue(owner, 0);
        assert.equal(issuer.check(issued, owner, 1), 'valid');
        if (other === owner) return;
        assert.equal(issuer.check(issued, other, 1), 'foreign');
      });
      fastCheck.assert(property, {seed: SEED, numRuns: 300});
    },
  );

  nodeTest.test(
    'stays unusable after a refusal, even when later refusals exceed the ' +
      'number of refused identities in memory',
    () => {
      const issuer = buildIssuer();
      const first = issuer.issue('alice', 0);
      issuer.refuse(first);
      assert.equal(issuer.check(first, 'alice', 1), 'refused');
      for (let count = 0; count < 50_000; count += 1) {
        issuer.refuse(`kigali-a.entry-1.0a_${count + 2}_${'0'.repeat(24)}`);
      }
      assert.equal(issuer.check(first, 'alice', 1), 'expired');
    },
  );

  nodeTest.test('is foreign if it was never issued or was altered', () => {
    const issuer = buildIssuer();
    const issued = issuer.issue('alice', 0);
    const altered = issued.replace('_1_', '_2_');
    assert.equal(issuer.check(altered, 'alice', 1), 'foreign');
    assert.equal(issuer.check('nonsense', 'alice', 1), 'foreign');
    const elsewhere = issued.replace('entry-1', 'entry-2');
    assert.equal(issuer.check(elsewhere, 'alice', 1), 'foreign');
  });

  nodeTest.test(
    'has expired when its outcome may have been dropped; guards against a ' +
      'repeated call that runs the request a second time',
    () => {
      const later = fastCheck.integer({min: 0, max: 3 * HOUR_MS});
      const property = fastCheck.property(GAPS, later, (gaps, wait) => {
        const issuer = buildIssuer();
        let now = 0;
        const issued = gaps.map(gap => {
          now += gap;
          return {name: issuer.issue('alice', now), at: now};
        });
        now += wait;
        for (const {name, at} of issued) {
          // A request ends no earlier than its identity is issued.
          const forgotten = now - at >= requestTable.OUTCOME_RETENTION_MS;
          const checked = issuer.check(name, 'alice', now);
          if (forgotten) assert.equal(checked, 'expired');
        }
      });
      fastCheck.assert(property, {seed: SEED, numRuns: 500});
    },
  );

  nodeTest.test('stays valid until a minute before its expiry', () => {
    const property = fastCheck.property(GAPS, gaps => {
      const issuer = buildIssuer();
      let now = 0;
      for (const gap of gaps) {
        now += gap;
        const name = issuer.issue('alice', now);
        const nearEnd = now + identityIssuer.IDENTITY_VALIDITY_MS - 60_000;
        assert.equal(issuer.check(name, 'alice', nearEnd), 'valid');
        now = nearEnd;
      }
    });
    fastCheck.assert(property, {seed: SEED, numRuns: 200});
  });
});
