package org.carobhoist.server.runtime;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.carobhoist.core.http.MalformedResponseException;
import org.carobhoist.standin.MalformedResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against malformed responses that the HTTP codec repairs and passes on. */
final class ResponseValidationHandlerTest {

  private static final String FIRST = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na";
  private static final String TO_HEAD = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n";

  private static EmbeddedChannel connection() {
    EmbeddedChannel channel = new EmbeddedChannel(new HttpClientCodec());
    ResponseValidationHandler.addTo(channel.pipeline());
    channel.pipeline().fireUserEventTriggered("protocol known");
    return channel;
  }

  private static void request(EmbeddedChannel channel, HttpMethod method) {
    channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"));
    channel.releaseOutbound();
  }

  private static void receive(EmbeddedChannel channel, byte[] bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static long completeResponses(EmbeddedChannel channel) {
    return channel.inboundMessages().stream()
        .filter(m -> m instanceof LastHttpContent end && end.decoderResult().isSuccess())
        .count();
  }

  @ParameterizedTest
  @EnumSource
  void malformedResponseIsNeverComplete(MalformedResponse malformed) {
    byte[] response = malformed.bytes("r1", "stamp");
    for (int first = 1; first <= response.length; first++) {
      EmbeddedChannel channel = connection();
      request(channel, HttpMethod.GET);
      byte[] beginning = Arrays.copyOf(response, first);
      byte[] rest = Arrays.copyOfRange(response, first, response.length);
      assertThrows(
          MalformedResponseException.class,
          () -> {
            receive(channel, beginning);
            receive(channel, rest);
          });
      channel.finish();
      assertWithMessage("cut after %s", first).that(channel.isOpen()).isFalse();
      assertWithMessage("cut after %s", first).that(completeResponses(channel)).isEqualTo(0);
      channel.releaseInbound();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        FIRST,
        "HTTP/1.1 200\ncontent-length:\t01 \n\na",
        "HTTP/1.0 599 \t\351\r\n!#$%&'*+-.^_`|~1A: \377 \"\r\nx:\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 205 Reset Content\r\ncontent-length: 1\r\n\r\na",
        "HTTP/1.1 205 Reset Content\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 500 A\r\ntransfer-encoding: Chunked\r\n\r\n"
            + "01 ;b=\"c;\"\r\na\r\n0;b\ndigest: a\r\n\r\n",
      })
  void codecFindsTheSameEndsOfValidResponses(String response) {
    for (int first = 1; first < response.length(); first++) {
      EmbeddedChannel channel = connection();
      request(channel, HttpMethod.GET);
      receive(channel, bytes(response.substring(0, first)));
      receive(channel, bytes(response.substring(first) + FIRST));
      assertWithMessage("cut after %s", first).that(completeResponses(channel)).isEqualTo(2);
      assertThat(channel.isOpen()).isTrue();
      channel.releaseInbound();
    }
  }

  @Test
  void responseBeforeMalformedBytesIsPassedOn() {
    EmbeddedChannel channel = connection();
    request(channel, HttpMethod.GET);
    byte[] responses = bytes(FIRST + "HTTP/1.1 000 OK\r\n\r\n");
    assertThrows(MalformedResponseException.class, () -> receive(channel, responses));
    assertThat(channel.isOpen()).isFalse();
    assertThat(completeResponses(channel)).isEqualTo(1);
    channel.releaseInbound();
  }

  @Test
  void responseToHeadIsFollowedByTheNextHead() {
    EmbeddedChannel channel = connection();
    request(channel, HttpMethod.HEAD);
    receive(channel, bytes(TO_HEAD));
    request(channel, HttpMethod.GET);
    receive(channel, bytes(FIRST));
    assertThat(completeResponses(channel)).isEqualTo(2);
    request(channel, HttpMethod.HEAD);
    byte[] malformed = bytes("HTTP/1.1 000 OK\r\n\r\n");
    assertThrows(MalformedResponseException.class, () -> receive(channel, malformed));
    channel.releaseInbound();
  }
}
