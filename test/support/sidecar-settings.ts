/** Settings of a sidecar for tests; all its addresses use free ports. */
import { sidecarSettingsSchema, type SidecarSettings } from '../../src/settings/schemas.js';
import { LONE_LINK_TOKEN } from './lone-control.js';

const ANY_ADDRESS = '127.0.0.1:0';

/**
 * Creates settings of a sidecar for a target of the service `ledger`.
 * @param controlOrigin origin at which control serves followers
 * @param others settings that override or extend the defaults
 */
export function sidecarSettings(
  controlOrigin: string | undefined,
  others: Readonly<Record<string, unknown>> = {},
): SidecarSettings {
  return sidecarSettingsSchema.parse({
    id: 'sidecar-1',
    zone: 'zone-a',
    service: 'ledger',
    inbound: ANY_ADDRESS,
    outbound: ANY_ADDRESS,
    registration: ANY_ADDRESS,
    admin: ANY_ADDRESS,
    control: [controlOrigin],
    linkToken: LONE_LINK_TOKEN,
    ...others,
  });
}
