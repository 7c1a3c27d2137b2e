/** A policy with one group and one kind of request, a repeatable read of the service `front`. */

import type { PolicyResource } from '../../src/policy/resource-schema.js';

/** @param deadlineMs deadline of the requests, in milliseconds */
export function frontPolicy(deadlineMs: number): PolicyResource {
  return {
    kind: 'Policy',
    name: 'shop',
    spec: {
      groups: [{ name: 'public', share: 1, keyHashes: [] }],
      defaultGroup: 'public',
      kinds: [
        {
          name: 'read',
          service: 'front',
          match: [{ method: 'GET', path: '/front/{id}' }],
          importance: 'normal',
          repeatable: true,
          internal: false,
          deadlineMs,
        },
      ],
      retry: { allowance: 0, ratio: 0 },
    },
  };
}
