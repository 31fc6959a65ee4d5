import * as http from 'node:http';
import * as jsonBody from '../src/links/json_body.js';
import type * as event from '../src/contracts/event.js';

/** Stand-in for the platform's lagging list of live and leaving VMs. */
export class VmList {
  private readonly vms = new Map<string, event.ListedVm>();
  private readonly server: http.Server;
  private down = false;

  /** Changes show `lagMs` after they are made. */
  constructor(private readonly lagMs = 0) {
    this.server = http.createServer((incoming, response) => {
      incoming.resume();
      if (this.down) response.destroy();
      else jsonBody.sendJson(response, 200, {vms: [...this.vms.values()]});
    });
  }

  /** Listens on a port that the system chooses when `port` is 0. */
  listen(port = 0): Promise<string> {
    return new Promise(resolve => {
      this.server.listen(port, '127.0.0.1', () => {
        const address = this.server.address();
        const chosen = typeof address === 'object' ? address?.port : port;
        resolve(`127.0.0.1:${chosen}`);
      });
    });
  }

  /** Adds or changes a VM after the lag. */
  put(vm: event.ListedVm): void {
    this.afterLag(() => this.vms.set(vm.vm, vm));
  }

  /** Removes a VM after the lag. */
  remove(vm: string): void {
    this.afterLag(() => this.vms.delete(vm));
  }

  /** Switches an outage on or off. */
  setDown(down: boolean): void {
    this.down = down;
  }

  /** Stops the service. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private afterLag(change: () => void): void {
    if (this.lagMs === 0) change();
    else setTimeout(change, this.lagMs).unref();
  }
}
