/** Blocks the event loop of this thread without using its processor. */
export function blockLoop(milliseconds: number): void {
  const cell = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(cell, 0, 0, milliseconds);
}
