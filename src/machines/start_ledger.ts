/**
 * Starts of non-idempotent requests that are not proved not run. It is kept
 * apart from the tasks, so that it checks their bookkeeping.
 */
export class StartLedger {
  private readonly open = new Map<string, Set<string>>();

  /** Tells whether one more start would be one too many. */
  allows(identity: string, taskCount: number): boolean {
    return (this.open.get(identity)?.size ?? 0) < taskCount;
  }

  /** Notes a start that is about to be sent. */
  sent(identity: string, task: string): void {
    const tasks = this.open.get(identity);
    if (tasks === undefined) this.open.set(identity, new Set([task]));
    else tasks.add(task);
  }

  /** Takes back a start that is proved not to have run. */
  notRun(identity: string, task: string): void {
    const tasks = this.open.get(identity);
    if (tasks === undefined) return;
    tasks.delete(task);
    if (tasks.size === 0) this.open.delete(identity);
  }

  /** Forgets an identity that is no longer answered. */
  forget(identity: string): void {
    this.open.delete(identity);
  }
}
