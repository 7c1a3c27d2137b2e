/**
 * Frame type, the first field of every frame. The numeric values are part of the wire format; new types must be
 * appended.
 */
export enum FrameCode {
  Hello,
  Call,
  Answer,
  Head,
  Refused,
  Data,
  End,
  Broken,
  Cancel,
  Taken,
  Ping,
  Pong,
}
