/**
 * Starts of non-idempotent requests that are not proved not run. It is kept
 * apart from the tasks, so that it checks their bookkeeping.
 */
export class StartLedger {
  private readonly starts = new Map<string, Set<string>>();

  /** Tells whether one more start would be one too many. */
  allowsStart(identity: string, taskCount: number): boolean {
    return (this.starts.get(identity)?.size ?? 0) < taskCount;
  }

  /** Notes a start that is about to be sent. */
  recordStart(identity: string, task: string): void {
    const tasks = this.starts.get(identity);
    if (tasks === undefined) this.starts.set(identity, new Set([task]));
    else tasks.add(task);
  }

  /** Takes back a start that is proved not to have run. */
  removeStart(identity: string, task: string): void {
    const tasks = this.starts.get(identity);
    if (tasks === undefined) return;
    tasks.delete(task);
    if (tasks.size === 0) this.starts.delete(identity);
  }

  /** Forgets an identity that is no longer answered. */
  forget(identity: string): void {
    this.starts.delete(identity);
  }
}
