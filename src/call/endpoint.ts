/**
 * Types for the endpoints of a service. On the path between sidecars, "node" means the sidecar of a target.
 */

/** Lifecycle state of a node. Nodes that are `leaving` get no new calls. */
export type EndpointState = 'ready' | 'leaving';

/** A node of a service, as announced by membership. */
export interface EndpointRecord {
  /** Id of the node, stable across restarts. */
  readonly id: string;
  /** Changes each time the process of the node starts. */
  readonly incarnation: number;
  readonly service: string;
  readonly zone: string;
  /** Origin of the inbound listener: `http://ADDRESS:PORT`. */
  readonly origin: string;
  readonly state: EndpointState;
}

/** How an attempt ended, as reported to the balancer. */
export type EndpointResult =
  /** The node answered, with any status. */
  | 'answered'
  /** The node could not be reached, did not answer in time, or closed the connection early. */
  | 'failed'
  /** The call was hedged because this endpoint was slow, and another endpoint answered first. */
  | 'hedged'
  /** The attempt was cancelled; this says nothing about the node. */
  | 'cancelled';
