// undici publishes no types for its individual modules. The whole package takes
// 11 MB more memory in each process than the client module alone.
declare module 'undici/lib/dispatcher/client.js' {
  import type * as undici from 'undici';
  const client: typeof undici.Client;
  // eslint-disable-next-line no-restricted-syntax -- undici's own export
  export default client;
}
