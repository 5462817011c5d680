package org.carobhoist.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import org.carobhoist.core.request.CarriedRequestIds;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * Logs bytes that a server sends while no response is awaited on the connection. It belongs in
 * front of the HTTP codec, which keeps the beginning of a response without any notice.
 */
final class UnawaitedBytesHandler extends ChannelInboundHandlerAdapter {

  private static final Pattern HARMLESS_STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] (1\\d\\d|408)\\b");

  private static final int MAX_STATUS_LINE_LENGTH = 64;

  private final CarriedRequestIds.Connection connection;
  private final OutOfStepListener listener;

  /**
   * Creates a handler for one connection.
   *
   * @param listener notified if the connection is out of step
   */
  UnawaitedBytesHandler(CarriedRequestIds.Connection connection, OutOfStepListener listener) {
    this.connection = connection;
    this.listener = listener;
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
      if (!isHarmless(bytes)) {
        listener.onOutOfStep(connection.address());
      }
      bytes.release();
      ctx.close();
      return;
    }
    ctx.fireChannelRead(message);
  }

  /** Returns whether the bytes are blank, an informational response, or the notice of a timeout. */
  private static boolean isHarmless(ByteBuf bytes) {
    int length = Math.min(bytes.readableBytes(), MAX_STATUS_LINE_LENGTH);
    String text = bytes.toString(bytes.readerIndex(), length, StandardCharsets.US_ASCII).strip();
    return text.isEmpty() || HARMLESS_STATUS_LINE.matcher(text).lookingAt();
  }
}
