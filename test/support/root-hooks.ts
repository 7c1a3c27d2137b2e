/** What every test needs before it runs. */
import { prepareHashing } from '../../src/common/rendezvous-hash.js';

export const mochaHooks = { beforeAll: prepareHashing };
