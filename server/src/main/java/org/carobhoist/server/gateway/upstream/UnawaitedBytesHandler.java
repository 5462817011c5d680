package org.carobhoist.server.gateway.upstream;

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

  /** Number of bytes that are kept of what was received last. */
  static final int MAX_TAIL_LENGTH = 64;

  private final CarriedRequestIds.Connection connection;
  private final OutOfStepListener listener;
  private String tail = "";

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
    if (message instanceof ByteBuf bytes) {
      int kept = Math.min(bytes.readableBytes(), MAX_TAIL_LENGTH);
      String text =
          tail + bytes.toString(bytes.writerIndex() - kept, kept, StandardCharsets.ISO_8859_1);
      tail = text.substring(Math.max(0, text.length() - MAX_TAIL_LENGTH));
    }
    ctx.fireChannelRead(message);
  }

  /**
   * Returns whether the bytes received so far end with a text.
   *
   * @param text at most {@link #MAX_TAIL_LENGTH} characters, one for each byte
   */
  boolean hasReceivedLast(String text) {
    return tail.endsWith(text);
  }

  /** Returns whether the bytes are blank, an informational response, or the notice of a timeout. */
  private static boolean isHarmless(ByteBuf bytes) {
    int length = Math.min(bytes.readableBytes(), MAX_STATUS_LINE_LENGTH);
    String text = bytes.toString(bytes.readerIndex(), length, StandardCharsets.US_ASCII).strip();
    return text.isEmpty() || HARMLESS_STATUS_LINE.matcher(text).lookingAt();
  }
}
