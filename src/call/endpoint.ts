/**
 * Where calls to a service can be sent, as the directory knows it and as the caller sees it. For routing, membership and
 * outgoing calls, on both data paths: a node here is also the sidecar beside a target. Types alone.
 */

/** What is known of a node's life. `leaving` nodes get no new calls. */
export type EndpointState = 'ready' | 'leaving';

/** One node of a service, as membership announces it. */
export interface EndpointRecord {
  /** Stable name of the node. */
  readonly id: string;
  /** Changes with every start of the node's process. */
  readonly incarnation: number;
  readonly service: string;
  readonly zone: string;
  /** `http://ADDRESS:PORT` of the node's inbound side. */
  readonly origin: string;
  readonly state: EndpointState;
}

/** How an attempt at an endpoint ended, for the caller's own view of the endpoint. */
export type EndpointResult =
  /** The node answered, whatever the answer. */
  | 'answered'
  /** The node could not be reached, went silent, or broke off. */
  | 'failed'
  /** A hedged request: no answer had begun after much longer than usual, and another endpoint answered first. */
  | 'hedged'
  /** The caller withdrew: says nothing about the node. */
  | 'cancelled';
