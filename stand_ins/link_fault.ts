/** The store, a VM with a scheduler process, or a worker. */
export interface Endpoint {
  readonly kind: 'store' | 'vm' | 'worker';
  /** Unique in the cell; a restarted process or worker keeps its name. */
  readonly name: string;
  /** Availability zone; the store has none. */
  readonly zone: string | undefined;
}

/** The store at one end of a link. */
export const STORE: Endpoint = {kind: 'store', name: 'store', zone: undefined};

/** A fault on the links between endpoints. */
export interface LinkFault {
  /** Whether bytes that one endpoint sends do not arrive at the other. */
  silences(sender: Endpoint, receiver: Endpoint): boolean;
}

/** Which bytes a cut stops, seen from the group that is cut off. */
export type CutDirection = 'both' | 'outbound' | 'inbound';

/** Links of a cut group that go on working. */
export type SparedLinks = 'none' | 'workers' | 'allButStore';

/** Cuts a group of endpoints off from all others. */
export class GroupCut implements LinkFault {
  constructor(
    /** Names of the endpoints of the group. */
    private readonly group: ReadonlySet<string>,
    private readonly direction: CutDirection,
    private readonly spared: SparedLinks,
  ) {}

  silences(sender: Endpoint, receiver: Endpoint): boolean {
    const isOutbound = this.group.has(sender.name);
    if (isOutbound === this.group.has(receiver.name)) return false;
    const other = isOutbound ? receiver : sender;
    if (this.spared === 'workers' && isWorkerLink(sender, receiver)) {
      return false;
    }
    if (this.spared === 'allButStore' && other.kind !== 'store') return false;
    if (this.direction === 'both') return true;
    return isOutbound === (this.direction === 'outbound');
  }
}

/** Cuts the store off from everybody. */
export class StoreSilence implements LinkFault {
  silences(sender: Endpoint, receiver: Endpoint): boolean {
    return sender.kind === 'store' || receiver.kind === 'store';
  }
}

function isWorkerLink(sender: Endpoint, receiver: Endpoint): boolean {
  return sender.kind === 'worker' || receiver.kind === 'worker';
}
