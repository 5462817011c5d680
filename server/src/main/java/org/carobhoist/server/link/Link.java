package org.carobhoist.server.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.server.link.proto.Hello;
import org.carobhoist.server.link.proto.LinkFrame;

/** An established connection to another process of the system. */
public final class Link {

  private final Channel channel;
  private final Hello peer;
  private final boolean outgoing;

  Link(Channel channel, Hello peer, boolean outgoing) {
    this.channel = channel;
    this.peer = peer;
    this.outgoing = outgoing;
  }

  /** Returns whether this process opened the link, rather than accepted it. */
  public boolean isOutgoing() {
    return outgoing;
  }

  /** Returns the hello in which the peer identified itself. */
  public Hello peer() {
    return peer;
  }

  /**
   * Sends a frame. The future completes when every byte of the frame has been handed to the
   * operating system. If the future fails, the last byte was not handed over, so the peer can't
   * have acted on the frame.
   */
  public CompletableFuture<Void> send(LinkFrame frame) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    channel.writeAndFlush(frame).addListener((ChannelFuture f) -> onWritten(f, done));
    return done;
  }

  /** Closes the link. */
  public void close() {
    channel.close();
  }

  private static void onWritten(ChannelFuture written, CompletableFuture<Void> done) {
    if (written.isSuccess()) {
      done.complete(null);
    } else {
      done.completeExceptionally(written.cause());
    }
  }
}
