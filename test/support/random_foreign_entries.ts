import * as jobCell from './job_cell.js';
import * as randomWorld from './random_world.js';
import type * as randomFaultKinds from './random_fault_kinds.js';

/** One in so many intervals brings an entry. */
const ENTRY_INTERVALS = 60;

/** Service that no queue uses. */
const FOREIGN_SERVICE = 'backup';

/**
 * Entries that another system writes to the registry: complete, with a service
 * of its own or of the cell, and for the machine of a worker.
 */
export class RandomForeignEntries implements randomFaultKinds.FaultKind {
  private count = 0;

  constructor(private readonly world: randomWorld.RandomWorld) {}

  async inject(): Promise<void> {
    const {world} = this;
    if (!world.chance(ENTRY_INTERVALS)) return;
    this.count += 1;
    const index = world.below(randomWorld.WORKER_COUNT);
    const {machine, born} = world.models[index].entry;
    const isForeign = world.chance(2);
    world.publishEntry(
      jobCell.registryEntry(`foreign${this.count}`, {
        machine,
        born: born + 1,
        address: `foreign${this.count}:9`,
        service: isForeign ? FOREIGN_SERVICE : jobCell.QUEUE.service,
      }),
    );
  }

  end(): void {}
}
