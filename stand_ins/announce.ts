/** Prints the address of a stand-in as the log line that tests wait for. */
export function announceListening(kind: string, address: string): void {
  console.log(`event=listening standIn=${kind} address=${address}`);
}
