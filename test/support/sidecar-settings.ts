/** Settings of a sidecar of a test: every address is one of its own choice. */
import { sidecarSettingsSchema, type SidecarSettings } from '../../src/settings/schemas.js';
import { LONE_LINK_TOKEN } from './lone-control.js';

const ANY_ADDRESS = '127.0.0.1:0';

/**
 * Settings of a sidecar beside a target of the service `ledger`.
 * @param controlOrigin where control serves followers
 * @param others take the place of these, or come besides
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
