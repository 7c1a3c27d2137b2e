/** Checks addresses that come from outside: connecting to one that cannot exist throws. */

const ADDRESS_AND_PORT = /^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/;

/** Whether the text is `ADDRESS:PORT` with an IPv4 address and a port in their ranges. */
export function isAddressAndPort(text: string): boolean {
  return ADDRESS_AND_PORT.test(text) && URL.canParse(`http://${text}`);
}
