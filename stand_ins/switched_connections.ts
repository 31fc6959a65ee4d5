// Preload of a process of a cell with a link switch: sends each outgoing TCP
// connection to the switch, with a first line that names its source and its
// target.
import * as net from 'node:net';

interface ConnectionTarget {
  readonly host?: string;
  readonly port?: number | string;
}

type Connect = (
  this: net.Socket,
  options: net.TcpSocketConnectOpts,
  listener?: () => void,
) => net.Socket;

const switchHost = process.env.LINK_SWITCH_HOST;
const switchPort = Number(process.env.LINK_SWITCH_PORT);
const sourceName = process.env.LINK_SWITCH_SOURCE;

const connectDirectly = net.Socket.prototype.connect as Connect;

/** Replaces `connect`, which `net.connect` calls with one array. */
function connectThroughSwitch(
  this: net.Socket,
  ...connectArguments: ReadonlyArray<unknown>
): net.Socket {
  const [first, second] = Array.isArray(connectArguments[0])
    ? (connectArguments[0] as ReadonlyArray<unknown>)
    : connectArguments;
  const {host, port} = first as ConnectionTarget;
  if (port === undefined) {
    throw new Error('the link switch carries only connections with a port');
  }
  const header = `${sourceName} ${host ?? '127.0.0.1'}:${port}\n`;
  this.prependOnceListener('connect', () => this.write(header));
  const options = {host: switchHost, port: switchPort};
  const listener = second as (() => void) | undefined;
  return connectDirectly.call(this, options, listener);
}

net.Socket.prototype.connect =
  connectThroughSwitch as typeof net.Socket.prototype.connect;
