package org.carobhoist.server.gateway.upstream;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.carobhoist.core.request.CarriedRequestIds;
import org.junit.jupiter.api.Test;

/** Guards against responses that pass for the response to another request on their connection. */
final class ResponseMatchingHandlerTest {

  private static final Charset ASCII = StandardCharsets.US_ASCII;
  private static final String REQUEST_ID = "carobhoist-request-id";
  private static final String INFORMATIONAL = "HTTP/1.1 103 Early Hints\r\n\r\n";

  private static final String EARLY_HINTS =
      "HTTP/1.1 103 Early Hints\r\nlink: </style.css>; rel=preload\r\n";

  private final CarriedRequestIds ids = CarriedRequestIds.create();
  private final List<String> outOfStep = new ArrayList<>();
  private final CarriedRequestIds.Connection connection = ids.open("a:1");
  private final EmbeddedChannel channel =
      new EmbeddedChannel(
          new ResponseMatchingHandler(
              connection, new UnawaitedBytesHandler(connection, outOfStep::add), outOfStep::add));

  private EmbeddedChannel wire() {
    CarriedRequestIds.Connection newConnection = ids.open("a:1");
    UnawaitedBytesHandler received = new UnawaitedBytesHandler(newConnection, outOfStep::add);
    return new EmbeddedChannel(
        received,
        new HttpClientCodec(),
        new ResponseMatchingHandler(newConnection, received, outOfStep::add));
  }

  private static HttpRequest request(String id) {
    HttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/seat");
    if (!id.isEmpty()) {
      request.headers().set(REQUEST_ID, id);
    }
    return request;
  }

  private static HttpResponse response(int status, String id) {
    HttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    if (!id.isEmpty()) {
      response.headers().set(REQUEST_ID, id);
    }
    return response;
  }

  @Test
  void passesOnTheAwaitedResponses() {
    for (String id : new String[] {"r1", "", "r2"}) {
      channel.writeOutbound(request(id));
      assertThat(channel.writeInbound(response(200, id))).isTrue();
    }
    assertThat(channel.isOpen()).isTrue();
  }

  @Test
  void passesOnTheResponseAfterInformationalOnes() {
    EmbeddedChannel wire = wire();
    send(wire, "r1");
    ByteBuf informational = Unpooled.copiedBuffer(INFORMATIONAL.repeat(3), ASCII);
    assertThat(wire.writeInbound(informational, bytes(200, "r1"))).isTrue();
    assertThat(wire.isOpen()).isTrue();
    assertThat(wire.inboundMessages().stream().map(Object::toString).toList().toString())
        .contains("carobhoist-request-id: r1");
  }

  @Test
  void endlessInformationalResponsesCloseTheConnection() {
    EmbeddedChannel wire = wire();
    send(wire, "r1");
    wire.writeInbound(Unpooled.copiedBuffer(INFORMATIONAL.repeat(1_000), ASCII));
    assertThat(wire.isOpen()).isFalse();
    assertThat(wire.inboundMessages().size()).isLessThan(100);
  }

  @Test
  void lateSecondResponseClosesTheConnectionEvenIfReadTogetherWithTheNext() {
    EmbeddedChannel wire = wire();
    send(wire, "r1");
    assertThat(wire.writeInbound(bytes(200, "r1"))).isTrue();
    wire.releaseInbound();
    send(wire, "r2");
    assertThat(wire.writeInbound(Unpooled.wrappedBuffer(bytes(200, "r1"), bytes(500, "r2"))))
        .isFalse();
    assertThat(wire.isOpen()).isFalse();
  }

  private static ByteBuf bytes(int status, String id) {
    return Unpooled.copiedBuffer(head(status, id) + "x", ASCII);
  }

  @Test
  void responseThatBreaksOffInItsHeadIsNotJoinedWithTheNext() {
    for (String lineEnd : List.of("\r\n", "\n")) {
      for (String protocol : List.of("HTTP/1.1 ", "http/1.1 ", "HTTP/1.1  ", "HTTP/1.1\t")) {
        String cutHead = head(200, "r1").replace("\r\n", lineEnd);
        String next = head(500, "r2").replace("HTTP/1.1 ", protocol) + "x";
        for (int cut = 1; cut < cutHead.length(); cut++) {
          EmbeddedChannel wire = wire();
          send(wire, "r2");
          wire.pipeline().fireChannelRead(ascii(cutHead.substring(0, cut)));
          wire.pipeline().fireChannelRead(ascii(next));
          assertWithMessage(cutHead.substring(0, cut) + next)
              .that(statuses(wire))
              .doesNotContain(200);
        }
      }
    }
  }

  @Test
  void informationalResponseThatBreaksOffIsNotJoinedWithTheNext() {
    for (int cut = 1; cut < EARLY_HINTS.length(); cut++) {
      EmbeddedChannel wire = wire();
      send(wire, "r2");
      wire.writeInbound(Unpooled.copiedBuffer(EARLY_HINTS.substring(0, cut), ASCII));
      wire.writeInbound(bytes(200, "r2"));
      assertWithMessage(EARLY_HINTS.substring(0, cut)).that(statuses(wire)).isEmpty();
      assertThat(wire.isOpen()).isFalse();
    }
  }

  @Test
  void bodyThatBreaksOffIsNotFilledByTheSecondResponse() {
    String response = head(200, "r1", 300) + "b".repeat(300);
    int headLength = response.length() - 300;
    for (int cut = headLength; cut < response.length(); cut++) {
      EmbeddedChannel wire = wire();
      send(wire, "r1");
      wire.writeInbound(Unpooled.copiedBuffer(response.substring(0, cut) + response, ASCII));
      assertWithMessage("cut at %s", cut - headLength).that(ends(wire)).isEqualTo(0);
      assertThat(wire.isOpen()).isFalse();
    }
  }

  @Test
  void chunkedBodyThatBreaksOffIsNotFilledByTheSecondResponse() {
    String chunk = "b".repeat(300);
    String response =
        "HTTP/1.1 200 Status\r\ncarobhoist-request-id: r1\r\ncarobhoist-server-stamp: 3e1b.07\r\n"
            + "transfer-encoding: chunked\r\n\r\n12c;n=v\r\n"
            + chunk
            + "\r\n12c\r\n"
            + chunk
            + "\r\n0\r\nx-check: 1\r\n\r\n";
    int headEnd = response.indexOf("\r\n\r\n") + 4;
    for (int cut = headEnd; cut < response.length(); cut++) {
      EmbeddedChannel wire = wire();
      send(wire, "r1");
      wire.pipeline().fireChannelRead(ascii(response.substring(0, cut) + response));
      assertWithMessage("cut at %s", cut).that(ends(wire)).isEqualTo(0);
    }
  }

  @Test
  void bodyThatBreaksOffIsNotFilledByTheLateResponseToAnEarlierRequest() {
    String response = head(200, "r2", 300) + "b".repeat(300);
    for (int cut = response.length() - 300; cut < response.length(); cut++) {
      EmbeddedChannel wire = wire();
      send(wire, "r1");
      wire.writeInbound(bytes(200, "r1"));
      send(wire, "r2");
      wire.releaseInbound();
      wire.pipeline().fireChannelRead(ascii(response.substring(0, cut) + head(500, "r1", 400)));
      assertWithMessage("cut at %s", cut).that(ends(wire)).isEqualTo(0);
    }
  }

  @Test
  void bodyIsPassedOnIfTheSecondResponseFollowsIt() {
    for (String end : List.of("", "H", "HTTP/1.1 200 OK\r\n", "HTTP/1.")) {
      String response = head(200, "r1", 10 + end.length()) + "b".repeat(10) + end;
      for (String extra : List.of("", response)) {
        EmbeddedChannel wire = wire();
        send(wire, "r1");
        wire.writeInbound(ascii(response + extra));
        assertWithMessage(end).that(ends(wire)).isEqualTo(1);
        assertThat(wire.isOpen()).isEqualTo(extra.isEmpty());
      }
    }
  }

  @Test
  void secondResponseAfterBodyWithoutLengthIsNotPartOfIt() {
    String withoutLength = "HTTP/1.1 200 Status\r\n" + REQUEST_ID + ": r1\r\n\r\nbody";
    EmbeddedChannel wire = wire();
    send(wire, "r1");
    for (byte b : (withoutLength + withoutLength).getBytes(ASCII)) {
      wire.pipeline().fireChannelRead(Unpooled.wrappedBuffer(new byte[] {b}));
    }
    wire.finish();
    assertThat(ends(wire)).isEqualTo(0);
  }

  @Test
  void bodyMayHoldResponsesToOtherRequests() {
    String body =
        head(200, "r2", 0) + head(500, "r3", 0) + "GET / HTTP/1.1\r\n" + REQUEST_ID + ": r1\r\n";
    EmbeddedChannel wire = wire();
    send(wire, "r1");
    wire.writeInbound(Unpooled.copiedBuffer(head(200, "r1", body.length()) + body, ASCII));
    assertThat(ends(wire)).isEqualTo(1);
    assertThat(wire.isOpen()).isTrue();
  }

  private static long ends(EmbeddedChannel wire) {
    return wire.inboundMessages().stream().filter(LastHttpContent.class::isInstance).count();
  }

  @Test
  void bytesWithoutRequestCloseTheConnectionBeforeTheNextOne() {
    EmbeddedChannel wire = wire();
    send(wire, "r1");
    wire.writeInbound(bytes(200, "r1"));
    assertThat(wire.isOpen()).isTrue();
    wire.writeInbound(Unpooled.copiedBuffer("H", ASCII));
    assertThat(wire.isOpen()).isFalse();
    assertThat(outOfStep).containsExactly("a:1");
  }

  @Test
  void serverThatClosesTheConnectionWithinHeadIsNotOutOfStep() {
    EmbeddedChannel wire = wire();
    send(wire, "r1");
    wire.writeInbound(Unpooled.copiedBuffer(head(200, "r1").substring(0, 60), ASCII));
    wire.close();
    assertThat(statuses(wire)).isEmpty();
    assertThat(outOfStep).isEmpty();
  }

  @Test
  void passesOnHeadersThatNameProtocols() {
    EmbeddedChannel wire = wire();
    send(wire, "r1");
    String via =
        head(200, "r1").strip() + "\r\nvia: HTTP/1.1 200.proxy\r\nserver: x HTTP/2\r\n\r\nx";
    wire.writeInbound(Unpooled.copiedBuffer(via, ASCII));
    assertThat(statuses(wire)).containsExactly(200);
    assertThat(wire.isOpen()).isTrue();
  }

  @Test
  void bytesOfServerThatClosesAnIdleConnectionDontMakeItOutOfStep() {
    for (String notice : List.of("\r\n", "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n")) {
      EmbeddedChannel wire = wire();
      wire.writeInbound(ascii(notice));
      assertThat(wire.isOpen()).isFalse();
    }
    assertThat(outOfStep).isEmpty();
  }

  @Test
  void protocolIsNeverSwitched() {
    EmbeddedChannel wire = wire();
    send(wire, "r1");
    wire.writeInbound(ascii("HTTP/1.1 101 Switching Protocols\r\n\r\n"));
    assertThat(statuses(wire)).isEmpty();
    assertThat(wire.isOpen()).isFalse();
  }

  private static void send(EmbeddedChannel wire, String id) {
    wire.writeOutbound(request(id));
    wire.releaseOutbound();
  }

  private static ByteBuf ascii(String text) {
    return Unpooled.copiedBuffer(text, ASCII);
  }

  private static List<Integer> statuses(EmbeddedChannel wire) {
    return wire.inboundMessages().stream()
        .filter(HttpResponse.class::isInstance)
        .map(response -> ((HttpResponse) response).status().code())
        .toList();
  }

  private static String head(int status, String id) {
    return head(status, id, 1);
  }

  private static String head(int status, String id, int bodyLength) {
    return "HTTP/1.1 "
        + status
        + " Status\r\n"
        + REQUEST_ID
        + ": "
        + id
        + "\r\ncarobhoist-server-stamp: 3e1b.07\r\ncontent-length: "
        + bodyLength
        + "\r\n\r\n";
  }

  @Test
  void responseWithoutAnIdIsNotToRequestWithAnId() {
    channel.writeOutbound(request("r1"));
    channel.pipeline().fireChannelRead(response(200, ""));
    assertThat(channel.<Object>readInbound()).isNull();
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void secondResponseBeforeTheNextRequestClosesTheConnection() {
    channel.writeOutbound(request("r1"));
    channel.writeInbound(response(200, "r1"));
    channel.releaseInbound();
    channel.pipeline().fireChannelRead(response(200, "r1"));
    assertThat(channel.<Object>readInbound()).isNull();
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void connectionSendsNoRequestWithAnIdThatItHasCarried() {
    channel.writeOutbound(request("r1"));
    channel.writeInbound(response(200, "r1"));
    channel.releaseOutbound();
    assertThat(channel.write(request("r1")).isSuccess()).isFalse();
    assertThat(channel.<Object>readOutbound()).isNull();
    assertThat(channel.isOpen()).isFalse();
    assertThat(ids.isCarried("a:1", "r1")).isFalse();
  }
}
