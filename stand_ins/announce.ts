/** Prints where a stand-in listens, in the form that tests wait for. */
export function announceListening(kind: string, address: string): void {
  console.log(`event=listening standIn=${kind} address=${address}`);
}
