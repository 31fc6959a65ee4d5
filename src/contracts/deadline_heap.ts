import type * as clock from '../machines/clock.js';

interface Item {
  readonly name: string;
  readonly due: clock.Milliseconds;
}

/** Names in order of a due time; a binary heap with the earliest first. */
export class DeadlineHeap {
  private readonly items: Item[] = [];

  /** Adds a name; one that is never due is not kept. */
  add(name: string, due: clock.Milliseconds): void {
    if (due === Infinity) return;
    this.items.push({name, due});
    this.rise(this.items.length - 1);
  }

  /** The earliest due time; Infinity when nothing is due. */
  earliest(): clock.Milliseconds {
    return this.items.length === 0 ? Infinity : this.items[0].due;
  }

  /** Takes out the names that are due, the earliest first. */
  takeDue(now: clock.Milliseconds): ReadonlyArray<string> {
    const names: string[] = [];
    while (this.items.length > 0 && this.items[0].due <= now) {
      names.push(this.items[0].name);
      this.removeFirst();
    }
    return names;
  }

  private removeFirst(): void {
    const last = this.items.pop();
    if (last === undefined || this.items.length === 0) return;
    this.items[0] = last;
    this.sink();
  }

  private rise(start: number): void {
    let position = start;
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (this.items[parent].due <= this.items[position].due) return;
      this.swap(parent, position);
      position = parent;
    }
  }

  private sink(): void {
    let position = 0;
    for (;;) {
      const child = this.earlierChild(position);
      if (child === undefined) return;
      if (this.items[position].due <= this.items[child].due) return;
      this.swap(position, child);
      position = child;
    }
  }

  private earlierChild(position: number): number | undefined {
    const left = 2 * position + 1;
    if (left >= this.items.length) return undefined;
    const right = left + 1;
    if (right >= this.items.length) return left;
    return this.items[right].due < this.items[left].due ? right : left;
  }

  private swap(left: number, right: number): void {
    const kept = this.items[left];
    this.items[left] = this.items[right];
    this.items[right] = kept;
  }
}
