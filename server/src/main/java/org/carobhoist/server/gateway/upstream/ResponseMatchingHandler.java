package org.carobhoist.server.gateway.upstream;

import com.linecorp.armeria.client.Endpoint;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.NetUtil;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.carobhoist.core.http.MalformedResponseException;
import org.carobhoist.core.request.CarriedRequestIds;
import org.carobhoist.platform.CallHeaders;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/**
 * Passes on only responses that bear the id of the request that awaits one and are not joined with
 * an earlier response. Any other response means that the connection is out of step, so it is closed
 * before a further request can be sent on it, and the request that awaits its response fails.
 */
public final class ResponseMatchingHandler extends ChannelDuplexHandler {

  private static final AttributeKey<CarriedRequestIds.Connection> CONNECTION =
      AttributeKey.valueOf(ResponseMatchingHandler.class, "connection");

  /** Maximum number of informational responses to one request. */
  private static final int MAX_INFORMATIONAL_RESPONSES = 32;

  /** Status of a response that no request asks for. */
  private static final int SWITCHING_PROTOCOLS = 101;

  private final CarriedRequestIds.Connection connection;
  private final OutOfStepListener listener;
  private final UnawaitedBytesHandler received;
  private boolean lengthKnown;
  private boolean informational;
  private int informationalCount;
  private boolean outOfStep;
  private int status;
  private EmbeddedResponseDetector body;
  private LastHttpContent heldEnd;

  /**
   * Creates a handler that is to be placed behind the HTTP codec.
   *
   * @param received handler in front of the codec
   * @param listener notified if the connection is out of step
   */
  ResponseMatchingHandler(
      CarriedRequestIds.Connection connection,
      UnawaitedBytesHandler received,
      OutOfStepListener listener) {
    this.connection = connection;
    this.received = received;
    this.listener = listener;
    this.body = newDetector();
  }

  /**
   * Adds the handler to a new connection as soon as the connection has its HTTP codec.
   *
   * @param listener notified if the connection is out of step
   */
  public static void addTo(
      ChannelPipeline pipeline, CarriedRequestIds ids, OutOfStepListener listener) {
    pipeline.addFirst(new Installer(ids, listener));
  }

  /** Returns the name of a connection in the log, or an empty string if it isn't established. */
  static String connectionName(Channel channel) {
    CarriedRequestIds.Connection connection = channel.attr(CONNECTION).get();
    return connection == null ? "" : connection.toString();
  }

  /**
   * Returns the form of an address in which connections are compared.
   *
   * @param address an IP address and a port
   */
  static String canonicalAddress(String address) {
    return canonicalAddress(Endpoint.parse(address).toSocketAddress(-1));
  }

  private static String canonicalAddress(InetSocketAddress address) {
    return NetUtil.toSocketAddressString(address);
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest request
        && !connection.onRequest(CallHeaders.requestId(request.headers()))) {
      ReferenceCountUtil.release(message);
      EventLog.warn(
          LogEvent.REQUEST_ID_REPEATED,
          "request",
          CallHeaders.requestId(request.headers()),
          "address",
          connection.address(),
          "connection",
          connection);
      promise.tryFailure(new IOException("the connection has carried a request with this id"));
      ctx.close();
      return;
    }
    ctx.write(message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof HttpResponse response && !outOfStep) {
      if (heldEnd != null && response.decoderResult().isFailure()) {
        refuseJoined(ctx, "a second response from the end of the body on");
      } else {
        passHeldEnd(ctx);
        checkResponse(ctx, response);
      }
    }
    if (message instanceof HttpContent content && !outOfStep) {
      checkContent(ctx, content);
    }
    if (outOfStep) {
      ReferenceCountUtil.release(message);
    } else if (message instanceof LastHttpContent end && !informational) {
      heldEnd = end;
      // What is read next tells whether the last bytes belong to a second response.
      if (!body.isSuspicious()) {
        passHeldEnd(ctx);
      }
    } else {
      ctx.fireChannelRead(message);
    }
  }

  private void passHeldEnd(ChannelHandlerContext ctx) {
    if (heldEnd == null) {
      return;
    }
    connection.onResponseEnd();
    informationalCount = 0;
    body = newDetector();
    LastHttpContent end = heldEnd;
    heldEnd = null;
    ctx.fireChannelRead(end);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (heldEnd != null && lengthKnown && !received.hasReceivedLast(body.lastBytes())) {
      refuseJoined(ctx, "more bytes after the end of the body");
    }
    passHeldEnd(ctx);
    ctx.fireChannelReadComplete();
  }

  private void checkResponse(ChannelHandlerContext ctx, HttpResponse response) {
    status = response.status().code();
    informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    informationalCount += informational ? 1 : 0;
    lengthKnown = HttpUtil.isContentLengthSet(response);
    String id = CallHeaders.requestId(response.headers());
    Optional<String> defect = JoinedHeads.findDefect(response);
    if (defect.isPresent()) {
      refuseJoined(ctx, defect.get());
    } else if (response.decoderResult().isFailure() || !isExpected(id)) {
      logUnexpected(id, response.decoderResult());
      closeOutOfStep(ctx);
    }
  }

  private boolean isExpected(String id) {
    return informational
        ? informationalCount <= MAX_INFORMATIONAL_RESPONSES && status != SWITCHING_PROTOCOLS
        : connection.isAwaited(id);
  }

  private void checkContent(ChannelHandlerContext ctx, HttpContent content) {
    if (content.decoderResult().isFailure()) {
      refuseJoined(ctx, "a malformed body: " + content.decoderResult().cause());
    } else if (body.feed(content.content())) {
      refuseJoined(ctx, "a second response in the body");
    } else if (content instanceof LastHttpContent end
        && CallHeaders.hasIdentity(end.trailingHeaders())) {
      refuseJoined(ctx, "a second response in the trailers");
    }
  }

  private void refuseJoined(ChannelHandlerContext ctx, String why) {
    EventLog.warn(
        LogEvent.RESPONSE_JOINED,
        "request",
        connection.awaitedId(),
        "status",
        status,
        "why",
        why,
        "address",
        connection.address(),
        "connection",
        connection);
    closeOutOfStep(ctx);
  }

  private void closeOutOfStep(ChannelHandlerContext ctx) {
    outOfStep = true;
    ReferenceCountUtil.release(heldEnd);
    heldEnd = null;
    // A head that ends with its connection is that of a server that broke off, not out of step.
    if (ctx.channel().isActive()) {
      listener.onOutOfStep(connection.address());
    }
    ctx.close();
  }

  private void logUnexpected(String id, DecoderResult result) {
    EventLog.warn(
        LogEvent.RESPONSE_UNEXPECTED,
        "request",
        connection.awaitedId(),
        "response",
        id,
        "status",
        status,
        "malformed",
        result.isFailure(),
        "why",
        result.isFailure() ? result.cause() : "",
        "address",
        connection.address(),
        "connection",
        connection);
  }

  private EmbeddedResponseDetector newDetector() {
    return EmbeddedResponseDetector.create(connection::hasCarried);
  }

  /** Counts a server that sent a malformed response as out of step. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // Passed on first, so that the request fails with the cause and not with the close.
    ctx.fireExceptionCaught(cause);
    if (cause instanceof MalformedResponseException && !outOfStep) {
      closeOutOfStep(ctx);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    passHeldEnd(ctx);
    connection.close();
    ctx.fireChannelInactive();
  }

  /** Waits for the codec, which the client library adds once it knows the protocol. */
  private static final class Installer extends ChannelInboundHandlerAdapter {

    private final CarriedRequestIds ids;
    private final OutOfStepListener listener;

    private Installer(CarriedRequestIds ids, OutOfStepListener listener) {
      this.ids = ids;
      this.listener = listener;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      ChannelPipeline pipeline = ctx.pipeline();
      ChannelHandlerContext codec = pipeline.context(HttpClientCodec.class);
      if (codec != null) {
        InetSocketAddress server = (InetSocketAddress) ctx.channel().remoteAddress();
        if (server == null) {
          ctx.close();
          return;
        }
        CarriedRequestIds.Connection connection = ids.open(canonicalAddress(server));
        ctx.channel().attr(CONNECTION).set(connection);
        UnawaitedBytesHandler received = new UnawaitedBytesHandler(connection, listener);
        pipeline.addBefore(codec.name(), null, received);
        pipeline.addAfter(
            codec.name(), null, new ResponseMatchingHandler(connection, received, listener));
        pipeline.remove(this);
      }
      ctx.fireUserEventTriggered(event);
    }
  }
}
