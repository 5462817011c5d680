package org.carobhoist.server.gateway.store;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import org.carobhoist.platform.StoreCall;
import org.carobhoist.platform.StoreReply;
import org.carobhoist.server.runtime.DecisionLoop;
import org.carobhoist.server.runtime.SystemClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests what happens to calls in flight when the direct path to the store is given up. */
final class FailoverStoreTransportTest {

  private static final byte[] NO_CONTENT = {};
  private static final StoreCall PROBE = call("/probe", Duration.ofMillis(600));

  private final DecisionLoop loop = DecisionLoop.create("failover-store-transport-test");
  private final BlockingQueue<SentCall> sent = new LinkedBlockingQueue<>();
  private final FailoverStoreTransport transport =
      new FailoverStoreTransport(this::send, List::of, List.of(PROBE), loop, SystemClock.create());

  private record SentCall(StoreCall call, CompletableFuture<StoreReply> reply, long sentNanos) {

    private void fail() {
      reply.completeExceptionally(new IllegalStateException("no answer"));
    }
  }

  private static StoreCall call(String target, Duration timeout) {
    return new StoreCall("GET", target, NO_CONTENT, timeout);
  }

  private CompletableFuture<StoreReply> send(StoreCall call) {
    SentCall one = new SentCall(call, new CompletableFuture<>(), System.nanoTime());
    sent.add(one);
    return one.reply();
  }

  private CompletableFuture<StoreReply> start(StoreCall call) {
    return loop.call(() -> transport.call(call)).thenCompose(reply -> reply);
  }

  /**
   * Answers a call on the loop: a call can be taken from the queue before the transport has
   * attached itself to the reply, and what it does then must come before the next call of the test.
   */
  private void answer(SentCall one) {
    loop.call(() -> one.reply().complete(new StoreReply(200, NO_CONTENT))).join();
  }

  /** Returns the next call sent on the direct path, and checks its target. */
  private SentCall next(String target) throws InterruptedException {
    SentCall one = sent.take();
    assertThat(one.call().target()).isEqualTo(target);
    return one;
  }

  @AfterEach
  void stop() {
    loop.stop().join();
  }

  @Test
  void pageInFlightIsKeptWhenTheDirectPathIsGivenUp() throws InterruptedException {
    final CompletableFuture<StoreReply> page = start(call("/page", Duration.ofSeconds(5)));
    final SentCall pageSent = next("/page");
    start(call("/waiting-read", Duration.ofMillis(1_700)));
    next("/waiting-read").fail();
    next("/probe").fail();
    // The second probe is sent only after the direct path has been given up.
    next("/probe");
    assertThat(loop.call(transport::isDirectPathUp).join()).isFalse();
    pageSent.reply().complete(new StoreReply(200, NO_CONTENT));
    assertThat(page.join().status()).isEqualTo(200);
  }

  @Test
  void waitingReadsFailWhenTheDirectPathIsGivenUp() throws InterruptedException {
    final CompletableFuture<StoreReply> waiting =
        start(call("/waiting-read", Duration.ofMillis(1_700)));
    next("/waiting-read");
    start(call("/append", Duration.ofMillis(700)));
    next("/append").fail();
    next("/probe").fail();
    // The second probe is sent only after the direct path has been given up.
    next("/probe");
    assertThat(waiting.handle((reply, failure) -> failure != null).join()).isTrue();
  }

  @Test
  void pageLostInAnOutageIsSentAgainWhenTheDirectPathIsRestored() throws InterruptedException {
    final CompletableFuture<StoreReply> page = start(call("/page", Duration.ofSeconds(5)));
    final SentCall lostPage = next("/page");
    start(call("/append", Duration.ofMillis(700)));
    next("/append").fail();
    next("/probe").fail();
    next("/probe");
    // The probe before is still unanswered, as it would be by a silent store.
    next("/probe").reply().complete(new StoreReply(200, NO_CONTENT));
    SentCall sentAgain = next("/page");
    lostPage.fail();
    sentAgain.reply().complete(new StoreReply(200, NO_CONTENT));
    assertThat(page.join().status()).isEqualTo(200);
  }

  @Test
  void pageSentAfterTheLastLostProbeIsNotSentAgain() throws InterruptedException {
    start(call("/append", Duration.ofMillis(700)));
    next("/append").fail();
    next("/probe").fail();
    SentCall probe = next("/probe");
    final CompletableFuture<StoreReply> page = start(call("/page", Duration.ofSeconds(5)));
    final SentCall pageSent = next("/page");
    answer(probe);
    start(call("/read", Duration.ofMillis(700)));
    next("/read");
    pageSent.reply().complete(new StoreReply(200, NO_CONTENT));
    assertThat(page.join().status()).isEqualTo(200);
    assertThat(sent).isEmpty();
  }

  @Test
  void lostPageIsTheFirstCallAfterTheDirectPathIsRestored() throws InterruptedException {
    start(call("/page", Duration.ofSeconds(5)));
    next("/page");
    start(call("/append", Duration.ofMillis(700)));
    next("/append").fail();
    next("/probe").fail();
    next("/probe").fail();
    answer(next("/probe"));
    start(call("/read", Duration.ofMillis(700)));
    next("/page");
    next("/read");
  }

  @Test
  void probesKeepTheirIntervalAfterThePathWasRestoredAndLostAgain() throws InterruptedException {
    for (int i = 0; i < 2; i++) {
      start(call("/append", Duration.ofMillis(700)));
      next("/append").fail();
      next("/probe").fail();
      if (i == 0) {
        answer(next("/probe"));
      }
    }
    SentCall previous = next("/probe");
    for (int i = 0; i < 2; i++) {
      SentCall probe = next("/probe");
      assertThat(probe.sentNanos() - previous.sentNanos())
          .isAtLeast(Duration.ofMillis(400).toNanos());
      previous = probe;
    }
  }
}
