package org.carobhoist.server.gateway.ingress;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carobhoist.core.account.AccountName;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.server.gateway.usage.UsageRecorder;
import org.junit.jupiter.api.Test;

/** Guards against attempts that are counted twice, or though they have not run. */
final class AttemptUsageTest {

  private static final Duration LATENCY = Duration.ofMillis(40);

  private final List<String> recorded = new ArrayList<>();
  private final AttemptUsage usage =
      new AttemptUsage(
          new Recorder(), Optional.of(new AccountName("hule930")), new ServiceName("app"));

  @Test
  void streamCountsAtItsFirstEventOnly() {
    usage.onStreamEvent();
    usage.onStreamEvent();
    usage.onEnded(true, LATENCY);
    assertThat(recorded).containsExactly("stream");
  }

  @Test
  void plainRequestCountsAtItsResponseHeadOnly() {
    usage.onPlainHead(LATENCY);
    usage.onEnded(true, LATENCY);
    assertThat(recorded).containsExactly("plain 40");
  }

  @Test
  void writtenRequestWithoutAnswerCounts() {
    usage.onEnded(true, LATENCY);
    usage.onEnded(true, LATENCY);
    assertThat(recorded).containsExactly("unanswered 40");
  }

  @Test
  void refusedOrUnwrittenRequestDoesNotCount() {
    usage.onNotRun();
    usage.onEnded(true, LATENCY);
    assertThat(recorded).isEmpty();
    AttemptUsage unwritten = new AttemptUsage(new Recorder(), Optional.empty(), null);
    unwritten.onEnded(false, LATENCY);
    assertThat(recorded).isEmpty();
  }

  private final class Recorder implements UsageRecorder {

    @Override
    public void onStreamBegan(Optional<AccountName> account) {
      recorded.add("stream");
    }

    @Override
    public void onPlainAnswer(
        Optional<AccountName> account, ServiceName service, Duration sinceSent) {
      recorded.add("plain " + sinceSent.toMillis());
    }

    @Override
    public void onUnanswered(
        Optional<AccountName> account, ServiceName service, Duration sinceSent) {
      recorded.add("unanswered " + sinceSent.toMillis());
    }
  }
}
