/** Visits a changing collection in turn, a limited number of items at a time. */
export class RoundRobin<Item> {
  private iterator: Iterator<Item> | undefined;

  /** `items` returns an iterator that stays valid while the items change. */
  constructor(private readonly items: () => Iterable<Item>) {}

  /** Returns the next items; each at most once, and fewer at the end. */
  take(maximumCount: number): ReadonlyArray<Item> {
    const taken: Item[] = [];
    this.iterator ??= this.items()[Symbol.iterator]();
    while (taken.length < maximumCount) {
      const next = this.iterator.next();
      if (next.done === true) {
        this.iterator = undefined;
        break;
      }
      taken.push(next.value);
    }
    return taken;
  }
}
