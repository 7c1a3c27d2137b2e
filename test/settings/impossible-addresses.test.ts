/**
 * Guards against addresses that cannot exist: connecting to one throws, which ended each process that had learned such an
 * address of another one.
 */
import { expect } from 'chai';
import { originSchema } from '../../src/settings/shared-settings.js';
import { sidecarSettingsSchema } from '../../src/settings/schemas.js';

const ADDRESSES = ['127.0.0.1:65536', '127.0.0.1:99999', '256.0.0.1:80', '999.1.1.1:80'];
const SETTINGS = {
  id: 'one',
  zone: 'zone-a',
  service: 'ledger',
  linkToken: 'link-token-0123456789',
  control: ['http://127.0.0.1:7000'],
  inbound: '127.0.0.1:0',
  outbound: '127.0.0.1:0',
  registration: '127.0.0.1:0',
  admin: '127.0.0.1:0',
};

describe('settings with an address that cannot exist', () => {
  for (const address of ADDRESSES) {
    it(`are refused: ${address}`, () => {
      const settings = { ...SETTINGS, target: address, advertise: `http://${address}` };
      const faults = sidecarSettingsSchema.safeParse(settings).error?.issues ?? [];
      expect(faults.map(({ path, message }) => `${path.join('.')} ${message}`)).to.have.members([
        'target must be ADDRESS:PORT',
        'advertise must be http://ADDRESS:PORT with an IP address',
      ]);
    });
  }

  it('are refused: an origin of IPv6 that is no address', () => {
    expect(originSchema.safeParse('http://[::1::]:80').success).to.equal(false);
    expect(originSchema.safeParse('http://[::1]:80').success).to.equal(true);
  });

  it('are told from those that can', () => {
    const settings = {
      ...SETTINGS,
      target: '255.255.255.255:65535',
      advertise: 'http://10.0.0.1:1',
    };
    expect(sidecarSettingsSchema.safeParse(settings).success).to.equal(true);
  });
});
