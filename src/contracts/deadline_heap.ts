import type * as clock from '../machines/clock.js';

interface HeapEntry {
  readonly name: string;
  readonly due: clock.Milliseconds;
}

/** Binary heap of names ordered by due time, the earliest first. */
export class DeadlineHeap {
  private readonly entries: HeapEntry[] = [];

  /** Adds a name; ignores a due time of Infinity. */
  add(name: string, due: clock.Milliseconds): void {
    if (due === Infinity) return;
    this.entries.push({name, due});
    this.siftUp(this.entries.length - 1);
  }

  /** Returns the earliest due time; Infinity when the heap is empty. */
  earliest(): clock.Milliseconds {
    return this.entries.length === 0 ? Infinity : this.entries[0].due;
  }

  /** Removes and returns the names that are due, the earliest first. */
  takeDue(now: clock.Milliseconds): ReadonlyArray<string> {
    const names: string[] = [];
    while (this.entries.length > 0 && this.entries[0].due <= now) {
      names.push(this.entries[0].name);
      this.removeFirst();
    }
    return names;
  }

  private removeFirst(): void {
    const last = this.entries.pop();
    if (last === undefined || this.entries.length === 0) return;
    this.entries[0] = last;
    this.siftDown();
  }

  private siftUp(start: number): void {
    let position = start;
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (this.entries[parent].due <= this.entries[position].due) return;
      this.swap(parent, position);
      position = parent;
    }
  }

  private siftDown(): void {
    let position = 0;
    for (;;) {
      const child = this.earlierChild(position);
      if (child === undefined) return;
      if (this.entries[position].due <= this.entries[child].due) return;
      this.swap(position, child);
      position = child;
    }
  }

  private earlierChild(position: number): number | undefined {
    const left = 2 * position + 1;
    if (left >= this.entries.length) return undefined;
    const right = left + 1;
    if (right >= this.entries.length) return left;
    return this.entries[right].due < this.entries[left].due ? right : left;
  }

  private swap(left: number, right: number): void {
    const temporary = this.entries[left];
    this.entries[left] = this.entries[right];
    this.entries[right] = temporary;
  }
}
