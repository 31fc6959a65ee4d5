/** Ends of one report, which are stored together. */
interface EndBatch {
  readonly highestNumber: number;
  stored: boolean;
}

/**
 * Tracks which run ends of a worker incarnation are stored. Reports may be
 * stored in another order than they arrived in, but acknowledgements are
 * cumulative: the worker forgets all ends up to the acknowledged number.
 */
export class EndCursor {
  private handled = 0;
  private stored = 0;
  private confirmed = 0;
  private readonly unstoredBatches: EndBatch[] = [];

  /** Sequence number of the last run end that was handled. */
  get handledNumber(): number {
    return this.handled;
  }

  /** Sequence number up to which all run ends are stored. */
  get storedNumber(): number {
    return this.stored;
  }

  /**
   * Sequence number to acknowledge; 0 if the worker has confirmed it. None is
   * sent twice without need: each may reach the worker's next incarnation, which
   * counts its ends anew and would forget some that nobody has seen.
   */
  get unconfirmedNumber(): number {
    return this.stored > this.confirmed ? this.stored : 0;
  }

  /** Records that the worker has answered the acknowledgement of a number. */
  confirm(acknowledgedNumber: number): void {
    this.confirmed = Math.max(this.confirmed, acknowledgedNumber);
  }

  /**
   * Records that all ends up to a number are handled. The returned function
   * records that those which are new are stored.
   */
  handle(highestNumber: number): () => void {
    const batch = {highestNumber, stored: false};
    this.handled = highestNumber;
    this.unstoredBatches.push(batch);
    return () => {
      batch.stored = true;
      this.advance();
    };
  }

  private advance(): void {
    while (this.unstoredBatches[0]?.stored) {
      this.stored = this.unstoredBatches[0].highestNumber;
      this.unstoredBatches.shift();
    }
  }
}
