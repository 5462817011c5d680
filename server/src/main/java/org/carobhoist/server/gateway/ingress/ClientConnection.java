package org.carobhoist.server.gateway.ingress;

import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;

/**
 * The connection of a client. The HTTP library reports a closed connection to the response of a
 * request about a second late, which keeps a server at work on a request that nobody awaits.
 */
final class ClientConnection {

  private ClientConnection() {}

  /**
   * Runs a callback on the connection's event loop as soon as the connection has been closed.
   *
   * @return removes the callback; must be called when the request has ended, since a connection
   *     carries many requests
   */
  static Runnable onClosed(ServiceRequestContext ctx, Runnable callback) {
    Channel channel = ctx.log().partial().channel();
    if (channel == null) {
      return () -> {};
    }
    GenericFutureListener<Future<Void>> listener = closed -> callback.run();
    channel.closeFuture().addListener(listener);
    return () -> channel.closeFuture().removeListener(listener);
  }
}
