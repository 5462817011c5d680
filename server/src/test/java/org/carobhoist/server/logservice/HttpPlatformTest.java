package org.carobhoist.server.logservice;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.carobhoist.standin.EndlessServerStandIn;
import org.carobhoist.standin.RepeatingServerStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that responses of the platform are bounded, and that each one is to its own request. */
final class HttpPlatformTest {

  private static final long MAX_ENDLESS_BYTES = 64L << 20;

  private static final byte[] RECORD = {1};
  private static final byte[] NOT_MODIFIED =
      RepeatingServerStandIn.response("304 Not Modified\r\netag: \"1\"", "");
  private static final String LIST =
      "[{\"instance\":{\"value\":\"s-1\"},\"role\":\"sidecar\",\"zone\":{\"value\":\"a\"},"
          + "\"host\":\"127.0.0.1\",\"port\":1,\"leaving\":false}]";

  @ParameterizedTest
  @EnumSource(
      value = EndlessServerStandIn.Part.class,
      mode = EnumSource.Mode.EXCLUDE,
      names = {"INFORMATIONAL_RESPONSES", "EVENT", "EVENTS"})
  void endlessRecordsAreNeitherKeptNorReadOn(EndlessServerStandIn.Part part) throws IOException {
    EndlessServerStandIn server = EndlessServerStandIn.start(part, MAX_ENDLESS_BYTES);
    CompletableFuture<LogBatch> batch =
        HttpPlatform.at(server.uri()).read(1, Duration.ofMinutes(1));
    assertThat(server.closedByClient().orTimeout(20, TimeUnit.SECONDS).join()).isTrue();
    assertThat(batch.handle((ok, failure) -> failure).orTimeout(20, TimeUnit.SECONDS).join())
        .isNotNull();
    server.stop();
  }

  @ParameterizedTest
  @EnumSource(
      value = EndlessServerStandIn.Part.class,
      names = {"BODY", "CHUNKS"})
  void endlessInstanceListIsNeitherKeptNorReadOn(EndlessServerStandIn.Part part)
      throws IOException {
    EndlessServerStandIn server = EndlessServerStandIn.start(part, MAX_ENDLESS_BYTES);
    CompletableFuture<?> list = HttpPlatform.at(server.uri()).read();
    assertThat(server.closedByClient().orTimeout(20, TimeUnit.SECONDS).join()).isTrue();
    assertThat(list.handle((ok, failure) -> failure).orTimeout(20, TimeUnit.SECONDS).join())
        .isNotNull();
    server.stop();
  }

  @Test
  void lateSecondResponseIsNotTheOffsetOfTheNextAppend() throws IOException {
    AtomicInteger appends = new AtomicInteger();
    RepeatingServerStandIn server =
        RepeatingServerStandIn.start(
            request ->
                RepeatingServerStandIn.response(
                    "200 OK", "{\"offset\":" + appends.incrementAndGet() + "}"),
            length -> length);
    HttpPlatform platform = HttpPlatform.at(server.uri());
    for (long i = 1; i <= 3; i++) {
      assertThat(platform.append(RECORD).orTimeout(20, TimeUnit.SECONDS).join()).isEqualTo(i);
    }
    server.stop();
  }

  @ParameterizedTest
  @ValueSource(strings = {"0200 OK", "200 OK\r\nx-note a: b", "200 OK\r\nx-\u0001note: a"})
  void malformedResponseIsNotTheOffsetOfAnAppend(String statusAndHeaders) throws IOException {
    RepeatingServerStandIn server =
        RepeatingServerStandIn.start(
            request -> RepeatingServerStandIn.response(statusAndHeaders, "{\"offset\":1}"),
            length -> 0);
    CompletableFuture<Long> offset = HttpPlatform.at(server.uri()).append(RECORD);
    assertThat(offset.handle((ok, failure) -> failure).orTimeout(20, TimeUnit.SECONDS).join())
        .isNotNull();
    server.stop();
  }

  @Test
  void unusableEntryDoesNotHideOtherInstancesOrRecords() throws IOException {
    String odd = "{\"instance\":{\"value\":\"s 2\"},\"zone\":{\"value\":\"a\"},\"host\":\"h\"},7,";
    String records =
        "{\"first\":0,\"next\":2,\"records\":["
            + "{\"offset\":0,\"timeMillis\":1,\"data\":\"???\"},"
            + "{\"offset\":1,\"timeMillis\":1,\"data\":\"AQ==\"}]}";
    RepeatingServerStandIn server =
        RepeatingServerStandIn.start(
            request ->
                RepeatingServerStandIn.response(
                    "200 OK",
                    request.contains("/log/") ? records : LIST.replaceFirst("\\[", "[" + odd)),
            length -> 0);
    HttpPlatform platform = HttpPlatform.at(server.uri());
    assertThat(platform.read().orTimeout(20, TimeUnit.SECONDS).join()).hasSize(1);
    LogBatch batch = platform.read(0, Duration.ZERO).orTimeout(20, TimeUnit.SECONDS).join();
    assertThat(batch.records()).hasSize(2);
    assertThat(batch.records().get(1).data()).isEqualTo(RECORD);
    server.stop();
  }

  @Test
  void responseThatBreaksOffDoesNotHideTheNextInstanceList() throws IOException {
    for (int cut = 1; cut < NOT_MODIFIED.length; cut++) {
      int copyLength = cut;
      AtomicInteger requests = new AtomicInteger();
      RepeatingServerStandIn server =
          RepeatingServerStandIn.start(
              request ->
                  switch (requests.incrementAndGet()) {
                    case 1 -> RepeatingServerStandIn.response("200 OK\r\netag: \"1\"", "[]");
                    case 2 -> NOT_MODIFIED;
                    default -> RepeatingServerStandIn.response("200 OK\r\netag: \"2\"", LIST);
                  },
              length -> length == NOT_MODIFIED.length ? copyLength : 0);
      HttpPlatform platform = HttpPlatform.at(server.uri());
      assertThat(platform.read().orTimeout(20, TimeUnit.SECONDS).join()).isEmpty();
      assertThat(platform.read().orTimeout(20, TimeUnit.SECONDS).join()).isEmpty();
      assertWithMessage("cut after %s bytes", cut)
          .that(platform.read().orTimeout(20, TimeUnit.SECONDS).join())
          .hasSize(1);
      server.stop();
    }
  }
}
