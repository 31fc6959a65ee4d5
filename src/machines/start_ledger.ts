/**
 * Starts of non-idempotent requests that ran or may have run. It is kept
 * separately from the tasks, so that it detects errors in their bookkeeping.
 */
export class StartLedger {
  private readonly starts = new Map<string, Set<string>>();

  /** Returns whether one more start would not exceed `taskCount` starts. */
  allowsStart(identity: string, taskCount: number): boolean {
    return (this.starts.get(identity)?.size ?? 0) < taskCount;
  }

  /** Records a start that is about to be sent. */
  recordStart(identity: string, task: string): void {
    const tasks = this.starts.get(identity);
    if (tasks === undefined) this.starts.set(identity, new Set([task]));
    else tasks.add(task);
  }

  /** Removes a start that is proved not to have run. */
  removeStart(identity: string, task: string): void {
    const tasks = this.starts.get(identity);
    if (tasks === undefined) return;
    tasks.delete(task);
    if (tasks.size === 0) this.starts.delete(identity);
  }

  /** Removes an identity whose requests are no longer answered. */
  forget(identity: string): void {
    this.starts.delete(identity);
  }
}
