package org.carobhoist.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.Consumer;
import org.carobhoist.core.request.CarriedRequestIds;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * Logs bytes that a server sends while no response is awaited on the connection. It belongs in
 * front of the HTTP codec, which keeps the beginning of a response without any notice.
 */
final class UnawaitedBytesHandler extends ChannelInboundHandlerAdapter {

  private final CarriedRequestIds.Connection connection;
  private final Consumer<String> outOfStepListener;

  /**
   * Creates a handler for one connection.
   *
   * @param outOfStepListener receives the server's address if the connection is out of step
   */
  UnawaitedBytesHandler(
      CarriedRequestIds.Connection connection, Consumer<String> outOfStepListener) {
    this.connection = connection;
    this.outOfStepListener = outOfStepListener;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof ByteBuf bytes && !connection.isAwaiting()) {
      EventLog.warn(
          LogEvent.BYTES_UNAWAITED,
          "bytes",
          bytes.readableBytes(),
          "address",
          connection.address(),
          "connection",
          connection);
      bytes.release();
      outOfStepListener.accept(connection.address());
      ctx.close();
      return;
    }
    ctx.fireChannelRead(message);
  }
}
