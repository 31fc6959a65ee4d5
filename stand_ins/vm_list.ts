import * as standInServer from './stand_in_server.js';
import type * as event from '../src/contracts/event.js';

/** Stand-in for the platform's list of live and leaving VMs, which lags. */
export class VmList implements standInServer.StandInHandler {
  private readonly vms = new Map<string, event.ListedVm>();
  private readonly server = new standInServer.StandInServer(this);
  private down = false;

  /** Creates a list in which changes appear after `lagMs`. */
  constructor(private readonly lagMs = 0) {}

  /** Starts listening and returns the address; port 0 selects a free port. */
  listen(port = 0): Promise<string> {
    return this.server.listen(port);
  }

  /** Adds or replaces a VM; takes effect after the lag. */
  put(vm: event.ListedVm): void {
    this.applyAfterLag(() => this.vms.set(vm.vm, vm));
  }

  /** Removes a VM by its name; takes effect after the lag. */
  remove(vm: string): void {
    this.applyAfterLag(() => this.vms.delete(vm));
  }

  /** Starts or ends an outage, in which connections close without answer. */
  setDown(down: boolean): void {
    this.down = down;
  }

  /** Closes the server and its connections. */
  close(): void {
    this.server.close();
  }

  /** Serves the list at /vms. */
  serve(call: standInServer.StandInCall): void {
    if (this.down) call.drop();
    else if (call.url.pathname !== '/vms') call.send(404, {});
    else call.sendTagged({vms: [...this.vms.values()]});
  }

  /** Applies the keys `put` (a VM), `remove` (a VM's name) and `down`. */
  control(change: Readonly<Record<string, unknown>>): void {
    const {put, remove, down} = change;
    if (put !== undefined) this.put(put as event.ListedVm);
    if (typeof remove === 'string') this.remove(remove);
    if (typeof down === 'boolean') this.setDown(down);
  }

  /** Returns the list as callers see it, and whether there is an outage. */
  observe(): unknown {
    return {vms: [...this.vms.values()], down: this.down};
  }

  private applyAfterLag(change: () => void): void {
    if (this.lagMs === 0) change();
    else setTimeout(change, this.lagMs).unref();
  }
}
