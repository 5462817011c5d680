package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.ContentTooLargeException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.carobhoist.platform.DirectTransport;
import org.carobhoist.platform.StoreCall;
import org.carobhoist.platform.StoreReply;
import org.carobhoist.standin.OddServerStandIn;
import org.carobhoist.standin.OddServerStandIn.Oddity;
import org.carobhoist.standin.PlatformDocuments;
import org.carobhoist.standin.PlatformServerStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against requests and items that fail, hang or get a foreign response because a server is
 * leaving or sends malformed or endless responses.
 */
@Execution(ExecutionMode.CONCURRENT)
final class GatewayOddServersTest {

  private static final String JOBS = PlatformDocuments.JOBS_HOST;
  private static final String BOOK = PlatformDocuments.BOOK_HOST;

  /** Upper bound of what is buffered between a server and a client that doesn't read. */
  private static final long MOST_BYTES_ON_THE_WAY = 32L << 20;

  private static final Duration LONG_TIME = Duration.ofSeconds(60);

  @TempDir private Path folder;

  private GatewayCluster cluster() throws IOException {
    GatewayCluster cluster = GatewayCluster.start(folder);
    cluster.startEntry("entry-1");
    return cluster;
  }

  @Test
  void serverThatSaysItLeavesGetsNothingMoreWhateverTheRegistrySays() throws IOException {
    try (GatewayCluster cluster = cluster()) {
      PlatformServerStandIn leaver = cluster.addServer("s-1", "app", false);
      cluster.awaitReady("entry-1");
      leaver.setLeaving(true);
      assertThat(cluster.post("entry-1", BOOK, "/seat", "x", "r1").status().code()).isEqualTo(200);
      final PlatformServerStandIn other = cluster.addServer("s-2", "app", false);
      cluster.await(
          "the second server is used",
          () -> cluster.post("entry-1", BOOK, "/seat", "x", "r2").status().code() == 200);
      cluster.store().register("app", leaver);
      for (int i = 0; i < 20; i++) {
        assertThat(cluster.post("entry-1", BOOK, "/seat", "x", "q" + i).status().code())
            .isEqualTo(200);
      }
      assertThat(leaver.runs()).containsExactly("r1 from 1");
      assertThat(other.runs()).hasSize(21);
    }
  }

  @Test
  void engineThatSaysItLeavesGetsNoMoreItems() throws IOException {
    try (GatewayCluster cluster = cluster()) {
      PlatformServerStandIn leaver = cluster.addServer("e-1", "lm", true);
      cluster.awaitReady("entry-1");
      leaver.setLeaving(true);
      cluster.post("entry-1", JOBS, "/j", PlatformDocuments.job(1, "a"), "j1");
      cluster.awaitListed("entry-1", "j1", 1);
      final PlatformServerStandIn other = cluster.addServer("e-2", "lm", true);
      cluster.store().register("lm", leaver);
      cluster.post("entry-1", JOBS, "/j", PlatformDocuments.job(1, "b", "c", "d"), "j2");
      cluster.awaitListed("entry-1", "j2", 3);
      assertThat(leaver.runs()).containsExactly("a from 1");
      assertThat(other.runs()).hasSize(3);
    }
  }

  @Test
  void lateSecondAnswersReachNoOtherRequest() throws IOException {
    try (GatewayCluster cluster = cluster()) {
      final OddServerStandIn odd = cluster.addOddServer("s-1", "app", Oddity.LATE_SECOND_ANSWER);
      cluster.awaitReady("entry-1");
      int wholeOnes = 0;
      for (int i = 0; i < 40; i++) {
        AggregatedHttpResponse answer =
            cluster.post("entry-1", BOOK, "/seat", "body " + i, "r" + i);
        if (answer.status().code() == 200) {
          assertThat(answer.contentUtf8()).isEqualTo("body " + i);
          wholeOnes++;
        }
      }
      assertThat(wholeOnes).isGreaterThan(0);
      assertThat(odd.runs()).contains("r39");
    }
  }

  @ParameterizedTest
  @EnumSource(
      names = {
        "ENDLESS_HEAD",
        "ENDLESS_BLANKS",
        "ENDLESS_BODY",
        "ENDLESS_CHUNK_EXTENSION",
        "ENDLESS_TRAILER",
        "TRICKLE"
      })
  void answersThatNeverEndAreCutAndTheRequestGoesOnElsewhere(Oddity oddity) throws IOException {
    try (GatewayCluster cluster = cluster()) {
      final OddServerStandIn odd = cluster.addOddServer("s-1", "app", oddity);
      cluster.awaitReady("entry-1");
      AggregatedHttpResponse alone = cluster.post("entry-1", BOOK, "/seat", "x", "r0");
      assertThat(alone.status().code()).isAtLeast(500);
      cluster.addServer("s-2", "app", false);
      cluster.await(
          "the second server is known",
          () -> cluster.post("entry-1", BOOK, "/seat", "x", "r1").status().code() == 200);
      for (int i = 0; i < 12; i++) {
        AggregatedHttpResponse answer = cluster.post("entry-1", BOOK, "/seat", "x" + i, "q" + i);
        assertThat(answer.contentUtf8()).isEqualTo("x" + i);
      }
      assertThat(odd.runs()).isNotEmpty();
      cluster.await("the server's connections are closed", () -> odd.isIdle());
      assertThat(cluster.process("entry-1").isAlive()).isTrue();
    }
  }

  @Test
  void streamThatNeverEndsIsReadAsItsClientReads() throws IOException {
    try (GatewayCluster cluster = cluster()) {
      cluster.publish(2, "streaming");
      OddServerStandIn odd = cluster.addOddServer("s-1", "app", Oddity.ENDLESS_BODY);
      cluster.awaitReady("entry-1");
      cluster.await(
          "the manifest has been applied", () -> cluster.logOf("entry-1").contains("event=7501"));
      try (Socket client = new Socket("127.0.0.1", cluster.frontPort("entry-1"))) {
        String request =
            "POST /seat HTTP/1.1\r\nhost: "
                + BOOK
                + "\r\ncarobhoist-request-id: r1\r\ncontent-length: 0\r\n\r\n";
        client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        long[] last = {0};
        cluster.await(
            "backpressure stops the server from sending",
            () -> {
              long before = last[0];
              last[0] = odd.fillerBytes();
              return before > 0 && before == last[0];
            });
        assertThat(last[0]).isLessThan(MOST_BYTES_ON_THE_WAY);
      }
    }
  }

  @Test
  void storesReplyThatNeverEndsIsCut() throws IOException {
    OddServerStandIn odd = OddServerStandIn.start("store", Oddity.ENDLESS_BODY);
    InetSocketAddress address =
        new InetSocketAddress("127.0.0.1", Integer.parseInt(odd.address().split(":")[1]));
    StoreCall call =
        new StoreCall("GET", "/-/log-read?topic=t&part=0&from=0", new byte[0], LONG_TIME);
    CompletableFuture<StoreReply> reply =
        DirectTransport.to(address, ClientFactory.ofDefault()).call(call);
    assertThat(assertThrows(CompletionException.class, reply::join))
        .hasCauseThat()
        .isInstanceOf(ContentTooLargeException.class);
    odd.stop();
  }

  @ParameterizedTest
  @EnumSource(
      names = {
        "ENDLESS_HEAD",
        "ENDLESS_BLANKS",
        "ENDLESS_BODY",
        "ENDLESS_CHUNK_EXTENSION",
        "TRICKLE"
      })
  void rewardCallsAndItemsOutliveEndlessAnswers(Oddity oddity) throws IOException {
    try (GatewayCluster cluster = cluster()) {
      cluster.addOddServer("s-1", "app", oddity);
      cluster.addServer("s-2", "app", false);
      cluster.addOddServer("e-1", "lm", oddity, true);
      cluster.addServer("e-2", "lm", true);
      cluster.awaitReady("entry-1");
      String job = PlatformDocuments.scoredJob(1, "a", "b", "c", "d", "e", "f");
      cluster.post("entry-1", JOBS, "/j", job, "j1");
      cluster.awaitListed("entry-1", "j1", 6);
      String results = cluster.results("entry-1", "j1");
      for (String item : List.of("a", "b", "c", "d", "e", "f")) {
        assertWithMessage(item)
            .that(results)
            .contains("\"id\":\"" + item + "\",\"state\":\"completed\"");
      }
      assertThat(cluster.process("entry-1").isAlive()).isTrue();
    }
  }
}
