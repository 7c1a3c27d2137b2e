/** The first field of every frame: its kind. The numbers are on the wire; a new kind goes to the end. */
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
