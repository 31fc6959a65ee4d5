import * as jsonBody from './json_body.js';
import type * as effect from '../contracts/effect.js';
import type * as event from '../contracts/event.js';
import type * as httpCaller from './http_caller.js';

/** Deadline of calls to the log and the VM list. */
const CALL_DEADLINE_MS = 2_000;

/** Most records that one read returns. */
const READ_LIMIT = 500;

/** Where the platform's services are. */
export interface PlatformAddresses {
  readonly log: string;
  readonly vmList: string;
}

interface ReadBody {
  readonly first: number;
  readonly next: number;
  readonly records: ReadonlyArray<event.StreamRecord>;
}

/** Reads and appends to the log and reads the VM list over HTTP. */
export class PlatformLink {
  constructor(
    private readonly addresses: PlatformAddresses,
    private readonly caller: httpCaller.HttpCaller,
    private readonly post: (event: event.Event) => void,
    private readonly now: () => number,
  ) {}

  /** Performs one effect; the answer comes as an event. */
  async perform(wanted: effect.PlatformEffect): Promise<void> {
    switch (wanted.kind) {
      case 'append':
        return this.append(wanted);
      case 'readStream':
        return this.readStream(wanted.stream, wanted.from);
      case 'readVmList':
        return this.readVmList();
    }
  }

  private async append(
    wanted: Extract<effect.PlatformEffect, {kind: 'append'}>,
  ): Promise<void> {
    const answer = await this.caller.call({
      method: 'POST',
      url: this.streamUrl(wanted.stream),
      body: {records: wanted.records},
      deadlineMs: CALL_DEADLINE_MS,
    });
    this.post({
      kind: 'appendAnswered',
      stream: wanted.stream,
      append: wanted.append,
      answer: answer?.status === 200 ? 'appended' : 'lost',
    });
  }

  private async readStream(stream: string, from: number): Promise<void> {
    const sentAt = this.now();
    const answer = await this.caller.call({
      method: 'GET',
      url: `${this.streamUrl(stream)}?from=${from}&limit=${READ_LIMIT}`,
      deadlineMs: CALL_DEADLINE_MS,
    });
    const parsed =
      answer?.status === 200 ? jsonBody.parseObject(answer.text) : undefined;
    if (parsed === undefined) {
      this.post({kind: 'readFailed', stream});
      return;
    }
    const body = parsed as unknown as ReadBody;
    this.post({kind: 'recordsRead', stream, sentAt, ...body});
  }

  private async readVmList(): Promise<void> {
    const sentAt = this.now();
    const answer = await this.caller.call({
      method: 'GET',
      url: `http://${this.addresses.vmList}/vms`,
      deadlineMs: CALL_DEADLINE_MS,
    });
    const parsed =
      answer?.status === 200 ? jsonBody.parseObject(answer.text) : undefined;
    if (parsed === undefined) {
      this.post({kind: 'vmListFailed'});
      return;
    }
    const vms = parsed['vms'] as ReadonlyArray<event.ListedVm>;
    this.post({kind: 'vmListRead', sentAt, vms});
  }

  private streamUrl(stream: string): string {
    const name = encodeURIComponent(stream);
    return `http://${this.addresses.log}/streams/${name}/records`;
  }
}
