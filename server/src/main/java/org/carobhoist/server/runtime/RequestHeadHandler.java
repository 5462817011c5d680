package org.carobhoist.server.runtime;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.carobhoist.core.limit.BufferBudget;
import org.carobhoist.core.limit.HeadLimit;

/**
 * Limits the heads of HTTP/1 requests on a connection before the codec parses them, and tells
 * {@link ClientConnections} which connections have a request. The bytes are passed on in pieces
 * that end where a head ends, so that the codec's events show where the next one begins.
 */
final class RequestHeadHandler extends ChannelInboundHandlerAdapter {

  /**
   * Lines of a head. The largest head that any manifest allows can't have more, since a line has at
   * least four bytes; the memory that many lines take is limited by the budget.
   */
  static final int MAX_LINES = 16_384;

  /** Memory of a complete head from which it is counted until its request has been answered. */
  private static final int LARGE_HEAD_BYTES = 65_536;

  /** Blank bytes before a request; lenient clients send one empty line after a body. */
  static final int MAX_BLANK_BYTES = 64;

  /** Shortest input by which the HTTP library tells HTTP/1 from HTTP/2. */
  private static final int DETECTION_BYTES = 4;

  /** Piece of a body after which the codec's events are considered; its usual chunk size. */
  private static final int PIECE_BYTES = 8_192;

  private static final String CODEC = "HttpServerCodec#0";

  /** Time after a timeout in which bytes are read that arrived while this process was paused. */
  private static final Duration GRACE = Duration.ofMillis(300);

  private final ClientConnections connections;
  private final HeadLimit head = HeadLimit.create(MAX_LINES, MAX_BLANK_BYTES);
  private BufferBudget.Buffer buffer;
  private Future<?> timer = CompletableFuture.completedFuture(null);
  private long countedBytes;
  private int detected;
  private int linesWithoutContent;
  private int openResponses;
  private boolean inBody;
  private boolean contentSeen;
  private boolean refused;

  private RequestHeadHandler(ClientConnections connections) {
    this.connections = connections;
  }

  static void addTo(ChannelPipeline pipeline, ClientConnections connections) {
    pipeline.addFirst(new RequestHeadHandler(connections));
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    connections.onOpen(ctx.channel());
    ctx.fireChannelActive();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    timer.cancel(false);
    releaseHead();
    connections.onClose(ctx.channel());
    ctx.fireChannelInactive();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!(message instanceof ByteBuf bytes)) {
      ctx.fireChannelRead(message);
      return;
    }
    try {
      while (bytes.isReadable() && !refused) {
        readPiece(ctx, bytes);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void readPiece(ChannelHandlerContext ctx, ByteBuf bytes) {
    if (detected < DETECTION_BYTES) {
      // The library adds its codec at the fourth byte.
      int size = Math.min(bytes.readableBytes(), DETECTION_BYTES - detected);
      detected += countHead(ctx, bytes, size);
      if (!refused && detected == DETECTION_BYTES) {
        observeCodec(ctx);
      }
    } else if (ctx.pipeline().get(CODEC) == null) {
      // HTTP/2, whose codec limits the header list.
      stopCounting(ctx);
      ctx.fireChannelRead(bytes.readRetainedSlice(bytes.readableBytes()));
    } else if (inBody) {
      readBody(ctx, bytes);
    } else {
      countHead(ctx, bytes, bytes.readableBytes());
    }
  }

  /** Passes on the bytes up to the end of the head; returns their number. */
  private int countHead(ChannelHandlerContext ctx, ByteBuf bytes, int size) {
    int start = bytes.readerIndex();
    int last = bytes.forEachByte(start, size, head::onByte);
    if (head.isExceeded()) {
      boolean blank = head.memoryBytes() == 0;
      refuse(ctx, blank ? ConnectionRefusal.BLANK_BYTES : ConnectionRefusal.HEAD_LINES);
      return 0;
    }
    int passed = last < 0 ? size : last - start + 1;
    if (head.isEnded()) {
      inBody = true;
      timer.cancel(false);
      if (head.memoryBytes() >= LARGE_HEAD_BYTES) {
        hold(ctx);
      }
    } else if (head.memoryBytes() > 0) {
      startTimer(ctx);
      hold(ctx);
    }
    if (!refused) {
      ctx.fireChannelRead(bytes.readRetainedSlice(passed));
    }
    return passed;
  }

  private void readBody(ChannelHandlerContext ctx, ByteBuf bytes) {
    int size = Math.min(bytes.readableBytes(), PIECE_BYTES);
    int lines = countLines(bytes, size);
    contentSeen = false;
    ctx.fireChannelRead(bytes.readRetainedSlice(size));
    // Bytes of a body that yield no content are chunk sizes or trailers.
    linesWithoutContent = contentSeen || !inBody ? 0 : linesWithoutContent + lines;
    if (linesWithoutContent > MAX_LINES) {
      refuse(ctx, ConnectionRefusal.HEAD_LINES);
    }
  }

  private static int countLines(ByteBuf bytes, int size) {
    int lines = 0;
    int end = bytes.readerIndex() + size;
    int at = bytes.indexOf(bytes.readerIndex(), end, (byte) '\n');
    while (at >= 0) {
      lines++;
      at = bytes.indexOf(at + 1, end, (byte) '\n');
    }
    return lines;
  }

  private void hold(ChannelHandlerContext ctx) {
    if (buffer == null) {
      buffer = connections.openBuffer(() -> refuseForMemory(ctx));
    }
    long more = head.memoryBytes() - countedBytes;
    countedBytes += more;
    connections.add(buffer, more);
  }

  /**
   * Refuses the head at once if possible. Many heads may arrive before the next task of the event
   * loop, and each would be parsed until then.
   */
  private void refuseForMemory(ChannelHandlerContext ctx) {
    if (ctx.executor().inEventLoop()) {
      refuse(ctx, ConnectionRefusal.MEMORY);
    } else {
      ctx.executor().execute(() -> refuse(ctx, ConnectionRefusal.MEMORY));
    }
  }

  private void releaseHead() {
    if (buffer != null) {
      connections.release(buffer);
      buffer = null;
    }
    countedBytes = 0;
  }

  private void startTimer(ChannelHandlerContext ctx) {
    if (timer.isDone()) {
      timer =
          after(ctx, connections.headTimeout(), () -> timer = after(ctx, GRACE, () -> expire(ctx)));
    }
  }

  private static Future<?> after(ChannelHandlerContext ctx, Duration delay, Runnable task) {
    return ctx.executor().schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void expire(ChannelHandlerContext ctx) {
    if (!inBody && head.memoryBytes() > 0 && ctx.channel().config().isAutoRead()) {
      refuse(ctx, ConnectionRefusal.HEAD_TIME);
    }
  }

  private void observeCodec(ChannelHandlerContext ctx) {
    if (ctx.pipeline().get(CODEC) != null) {
      ctx.pipeline().addAfter(CODEC, null, new CodecObserver());
    }
  }

  private void stopCounting(ChannelHandlerContext ctx) {
    timer.cancel(false);
    releaseHead();
    connections.onRequest(ctx.channel());
  }

  /** Closes the connection, with a response if none is due to an earlier request. */
  private void refuse(ChannelHandlerContext ctx, ConnectionRefusal cause) {
    if (refused) {
      return;
    }
    refused = true;
    timer.cancel(false);
    releaseHead();
    connections.onRefused(cause, ctx.channel().remoteAddress());
    if (openResponses > 0 || cause.response().isEmpty()) {
      ctx.close();
      return;
    }
    ByteBuf response = Unpooled.copiedBuffer(cause.response(), StandardCharsets.US_ASCII);
    ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  /** Observes where requests and responses begin and end. */
  private final class CodecObserver extends ChannelDuplexHandler {

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (message instanceof HttpRequest) {
        inBody = true;
        openResponses++;
        timer.cancel(false);
        if (head.memoryBytes() < LARGE_HEAD_BYTES && openResponses == 1) {
          releaseHead();
        }
        connections.onRequest(ctx.channel());
      }
      if (message instanceof HttpContent) {
        contentSeen = true;
      }
      if (message instanceof LastHttpContent) {
        inBody = false;
        linesWithoutContent = 0;
        countedBytes = 0;
        head.reset();
      }
      ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      boolean informational =
          message instanceof HttpResponse r
              && r.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      if (message instanceof LastHttpContent && !informational) {
        openResponses--;
        if (openResponses == 0 && !inBody) {
          if (head.memoryBytes() == 0) {
            releaseHead();
          }
          connections.onRequestEnd(ctx.channel());
        }
      }
      ctx.write(message, promise);
    }
  }
}
