package org.carobhoist.server.gateway.store;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryBuilder;
import com.linecorp.armeria.client.ClientFactoryOptions;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.util.EventLoopGroups;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.request.CarriedRequestIds;
import org.carobhoist.core.request.ConnectionReusePolicy;
import org.carobhoist.platform.DirectTransport;
import org.carobhoist.platform.EngineOrders;
import org.carobhoist.platform.StoreCall;
import org.carobhoist.platform.StoreReply;
import org.carobhoist.server.gateway.coordination.EngineClient;
import org.carobhoist.server.gateway.upstream.UpstreamClients;
import org.carobhoist.server.gateway.upstream.UpstreamPipeline;
import org.carobhoist.server.runtime.DecisionLoop;
import org.carobhoist.server.runtime.SuspendAwareClock;
import org.carobhoist.standin.RepeatingServerStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against replies of the store and reports of engines, which bear no request id, that are
 * joined with the beginning of an earlier response on their connection.
 */
final class RepliesWithoutIdTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final byte[] NO_CONTENT = {};
  private static final int STORE_BODY_LENGTH = 40;
  private static final String REPORT =
      "{\"models\":[{\"name\":\"m0\",\"version\":1}],\"busy\":false,\"sequence\":%d}";
  private static final Charset ASCII = StandardCharsets.US_ASCII;
  private static final String REQUEST_ID = "carobhoist-request-id";

  private final EventLoopGroup thread = EventLoopGroups.newEventLoopGroup(1, "replies-test");
  private final DecisionLoop loop = DecisionLoop.on(thread.next());
  private final CarriedRequestIds carriedIds = CarriedRequestIds.create();
  private final ClientFactory pooled = clientFactory().build();
  private final ClientFactory singleUse = clientFactory().maxNumRequestsPerConnection(1).build();
  private final UpstreamClients upstreams =
      new UpstreamClients(
          pooled,
          singleUse,
          carriedIds,
          ConnectionReusePolicy.create(SuspendAwareClock.create(), TIMEOUT));

  private ClientFactoryBuilder clientFactory() {
    return ClientFactory.builder()
        .workerGroup(thread, false)
        .idleTimeout(Duration.ZERO)
        .useHttp1Pipelining(false)
        .preferHttp1(true)
        .option(ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER, this::customize);
  }

  private void customize(ChannelPipeline pipeline) {
    UpstreamPipeline.customize(pipeline, carriedIds, address -> {});
  }

  @AfterEach
  void stop() {
    pooled.close();
    singleUse.close();
    thread.shutdownGracefully();
  }

  private DirectTransport store(RepeatingServerStandIn server) {
    return DirectTransport.to(new InetSocketAddress("127.0.0.1", server.uri().getPort()), pooled);
  }

  private static Optional<StoreReply> call(DirectTransport store) {
    StoreCall call = new StoreCall("POST", "/-/log-append?topic=t&part=0", NO_CONTENT, TIMEOUT);
    return store
        .call(call)
        .handle((reply, failure) -> Optional.ofNullable(reply))
        .orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS)
        .join();
  }

  @Test
  void storeReplyThatBreaksOffInItsHeadDoesNotTurnTheNextRejectionIntoSuccess() throws IOException {
    byte[] accepted = RepeatingServerStandIn.response("200 OK", "");
    byte[] rejected = RepeatingServerStandIn.response("503 Service Unavailable", "");
    for (int cut = 1; cut < accepted.length; cut++) {
      int copyLength = cut;
      AtomicInteger calls = new AtomicInteger();
      RepeatingServerStandIn server =
          RepeatingServerStandIn.start(
              request -> calls.incrementAndGet() == 1 ? accepted : rejected, length -> copyLength);
      DirectTransport store = store(server);
      assertThat(call(store).map(StoreReply::status)).hasValue(200);
      Optional<StoreReply> second = call(store);
      assertWithMessage("cut after %s bytes", cut)
          .that(second.map(StoreReply::status))
          .isAnyOf(Optional.empty(), Optional.of(503));
      server.stop();
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"000 Status", "0200 OK", "200 OK\r\nx-note a: b"})
  void malformedResponseIsNeitherReplyOfTheStoreNorReport(String head) throws IOException {
    RepeatingServerStandIn server =
        RepeatingServerStandIn.start(
            request -> RepeatingServerStandIn.response(head, REPORT.formatted(1)), length -> 0);
    assertThat(call(store(server))).isEmpty();
    assertThat(report(server)).isEmpty();
    server.stop();
  }

  @Test
  void bytesOfTheStoreWithoutCallCloseTheConnection() throws IOException, InterruptedException {
    AtomicInteger calls = new AtomicInteger();
    RepeatingServerStandIn server =
        RepeatingServerStandIn.start(
            request -> RepeatingServerStandIn.response("200 OK", "" + calls.incrementAndGet()),
            length -> 0);
    DirectTransport store = store(server);
    for (int i = 1; i <= 3; i++) {
      assertThat(new String(call(store).get().content(), ASCII)).isEqualTo("" + i);
      server.sendOnEveryConnection("HTTP/1.1 200 O");
      assertThat(server.awaitClosedConnection(TIMEOUT)).isTrue();
    }
    server.stop();
  }

  @Test
  void storeReplyThatBreaksOffInItsBodyIsNotJoinedWithTheNext() throws IOException {
    byte[] first = RepeatingServerStandIn.response("200 OK", "a".repeat(STORE_BODY_LENGTH));
    byte[] second = RepeatingServerStandIn.response("200 OK", "b".repeat(STORE_BODY_LENGTH));
    for (int missing = 1; missing <= STORE_BODY_LENGTH; missing++) {
      int copyLength = first.length - missing;
      AtomicInteger calls = new AtomicInteger();
      RepeatingServerStandIn server =
          RepeatingServerStandIn.start(
              request -> calls.incrementAndGet() == 1 ? first : second, length -> copyLength);
      DirectTransport store = store(server);
      call(store);
      Optional<String> reply = call(store).map(r -> new String(r.content(), ASCII));
      assertWithMessage("%s bytes missing", missing)
          .that(reply)
          .isAnyOf(Optional.empty(), Optional.of("b".repeat(STORE_BODY_LENGTH)));
      server.stop();
    }
  }

  private RepeatingServerStandIn engine(int copyLength) throws IOException {
    AtomicInteger reports = new AtomicInteger();
    return RepeatingServerStandIn.start(
        request ->
            request.startsWith("GET /-/report ")
                ? RepeatingServerStandIn.response(
                    "200 OK", REPORT.formatted(reports.incrementAndGet()))
                : RepeatingServerStandIn.response(
                    "500 Internal Server Error\r\n" + REQUEST_ID + ": item", ""),
        length -> Math.min(length, copyLength));
  }

  private OptionalLong report(RepeatingServerStandIn server) {
    CompletableFuture<Optional<EngineOrders.Report>> report = new CompletableFuture<>();
    loop.execute(
        () ->
            new EngineClient(
                    new InstanceId("e-1"), address(server), 0, upstreams, loop, leaving -> {})
                .requestReport("m0", report::complete));
    return report
        .orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS)
        .join()
        .map(r -> OptionalLong.of(r.orderCount()))
        .orElse(OptionalLong.empty());
  }

  private static String address(RepeatingServerStandIn server) {
    return server.uri().getAuthority();
  }

  @Test
  void reportThatBreaksOffIsNotJoinedWithTheNextReport() throws IOException {
    int length = RepeatingServerStandIn.response("200 OK", REPORT.formatted(1)).length;
    for (int cut = 1; cut < length; cut++) {
      RepeatingServerStandIn server = engine(cut);
      assertThat(report(server)).hasValue(1);
      assertWithMessage("cut after %s bytes", cut)
          .that(report(server))
          .isAnyOf(OptionalLong.empty(), OptionalLong.of(2));
      server.stop();
    }
  }

  @Test
  void reportThatBreaksOffIsNotJoinedWithTheResponseToAnItem() throws IOException {
    int length = RepeatingServerStandIn.response("200 OK", REPORT.formatted(1)).length;
    for (int cut = 1; cut < length; cut++) {
      RepeatingServerStandIn server = engine(cut);
      assertThat(report(server)).hasValue(1);
      assertWithMessage("cut after %s bytes", cut)
          .that(statusOfItem(server))
          .isAnyOf(Optional.empty(), Optional.of(500));
      server.stop();
    }
  }

  private Optional<Integer> statusOfItem(RepeatingServerStandIn server) {
    HttpRequest request =
        HttpRequest.of(
            RequestHeaders.builder(HttpMethod.POST, "/j").add(REQUEST_ID, "item").build());
    return loop.call(
            () -> upstreams.sendStreaming(address(server), request, TIMEOUT).response().aggregate())
        .thenCompose(response -> response)
        .handle((response, failure) -> Optional.ofNullable(response))
        .orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS)
        .join()
        .map(response -> response.status().code());
  }

  @Test
  void lateSecondReportIsNotTheNextReport() throws IOException {
    RepeatingServerStandIn server = engine(Integer.MAX_VALUE);
    for (long i = 1; i <= 3; i++) {
      assertThat(report(server)).hasValue(i);
    }
    server.stop();
  }
}
