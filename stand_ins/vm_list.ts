import * as standInServer from './stand_in_server.js';
import type * as event from '../src/contracts/event.js';

/** Stand-in for the platform's lagging list of live and leaving VMs. */
export class VmList implements standInServer.StandInHandler {
  private readonly vms = new Map<string, event.ListedVm>();
  private readonly server = new standInServer.StandInServer(this);
  private down = false;

  /** Changes show `lagMs` after they are made. */
  constructor(private readonly lagMs = 0) {}

  /** Listens on a port that the system chooses when `port` is 0. */
  listen(port = 0): Promise<string> {
    return this.server.listen(port);
  }

  /** Adds or changes a VM after the lag. */
  put(vm: event.ListedVm): void {
    this.applyAfterLag(() => this.vms.set(vm.vm, vm));
  }

  /** Removes a VM after the lag. */
  remove(vm: string): void {
    this.applyAfterLag(() => this.vms.delete(vm));
  }

  /** Switches an outage on or off. */
  setDown(down: boolean): void {
    this.down = down;
  }

  /** Stops the service. */
  close(): void {
    this.server.close();
  }

  /** Serves the list. */
  serve(call: standInServer.StandInCall): void {
    if (this.down) call.drop();
    else if (call.url.pathname !== '/vms') call.send(404, {});
    else call.sendTagged({vms: [...this.vms.values()]});
  }

  /** Takes `put` (a VM), `remove` (its name) and `down`. */
  control(change: Readonly<Record<string, unknown>>): void {
    const {put, remove, down} = change;
    if (put !== undefined) this.put(put as event.ListedVm);
    if (typeof remove === 'string') this.remove(remove);
    if (typeof down === 'boolean') this.setDown(down);
  }

  /** The list as it is shown. */
  observe(): unknown {
    return {vms: [...this.vms.values()], down: this.down};
  }

  private applyAfterLag(change: () => void): void {
    if (this.lagMs === 0) change();
    else setTimeout(change, this.lagMs).unref();
  }
}
