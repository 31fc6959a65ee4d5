import * as protobuf from '@bufbuild/protobuf';
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as cellMessages from '../../src/links/cell_messages.js';
import * as cellPb from '../../src/links/generated/cell_pb.js';

const {describe, test} = nodeTest;

describe('message that names the last reply of a member', () => {
  // Guards against a proof of leadership that is dated by a rounded or missing
  // time.
  test('keeps its time and incarnation, and that there is none', () => {
    for (const reply of [
      {incarnation: 'vm01-3', sentAt: 123_456.789},
      undefined,
    ]) {
      const request = protobuf.create(cellPb.PingRequestSchema, {
        lastReply: cellMessages.encodeReceivedReply(reply),
      });
      const bytes = protobuf.toBinary(cellPb.PingRequestSchema, request);
      const {lastReply} = protobuf.fromBinary(cellPb.PingRequestSchema, bytes);
      assert.deepEqual(cellMessages.decodeReceivedReply(lastReply), reply);
    }
  });
});
