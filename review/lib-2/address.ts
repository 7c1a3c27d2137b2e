/**
 * The address of a machine's target, which can be given to another target. While it is dark, it says nothing: connections
 * neither answer nor break. Those from before stay silent also after the address was given away.
 */
import { connect, createServer, type Socket } from 'node:net';

export class TargetAddress {
  /** Where the target that has the address listens; undefined while it is dark. */
  private holder: string | undefined;
  private readonly sockets = new Set<Socket>();
  private readonly server = createServer({ allowHalfOpen: true }, (socket) => this.accept(socket));

  async start(address: string): Promise<void> {
    const [host, port] = address.split(':');
    await new Promise<void>((done) => this.server.listen(Number(port), host, done));
  }

  /** @param holder where the target itself listens */
  give(holder: string): void {
    this.holder = holder;
  }

  goDark(): void {
    this.holder = undefined;
    for (const socket of this.sockets) {
      socket.unpipe();
      socket.pause();
    }
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.once('close', () => this.sockets.delete(socket));
    const { holder } = this;
    if (holder === undefined) socket.pause();
    else this.relay(socket, holder);
  }

  /** Relays bytes both ways for as long as the target has the address. */
  private relay(socket: Socket, holder: string): void {
    const isHeld = (): boolean => this.holder === holder;
    const [host, port] = holder.split(':');
    const inner = connect({ host, port: Number(port), allowHalfOpen: true });
    inner.on('error', () => socket.destroy());
    inner.on('data', (bytes: Buffer) => {
      if (isHeld()) socket.write(bytes);
    });
    inner.once('end', () => {
      if (isHeld()) socket.end();
    });
    inner.once('close', () => {
      if (isHeld()) socket.destroy();
    });
    socket.once('close', () => inner.destroy());
    socket.pipe(inner);
  }
}
