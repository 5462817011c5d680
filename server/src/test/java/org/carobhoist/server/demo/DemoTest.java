package org.carobhoist.server.demo;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Duration;
import java.util.List;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.standin.EngineStandIn;
import org.carobhoist.trainer.StepPageMessage;
import org.junit.jupiter.api.Test;

final class DemoTest {

  private static final Duration LOAD_DURATION = Duration.ofSeconds(8);
  private static final long SEED = 7;

  @Test
  void keepsEveryInvariantUnderFaults() throws Exception {
    StringWriter out = new StringWriter();
    DemoReport report = Demo.create(LOAD_DURATION, SEED, new PrintWriter(out)).run();

    assertWithMessage("seed " + SEED + "\n" + out).that(report.isClean()).isTrue();
    assertThat(report.requests().completed()).isGreaterThan(0L);
    assertThat(out.toString()).contains("invariants kept");
  }

  @Test
  void detectsRequestsThatViolateInvariants() {
    assertThat(afterRuns(Verdict.COMPLETED, 1).isClean()).isTrue();
    assertThat(afterRuns(Verdict.MAY_HAVE_RUN, 0).isClean()).isTrue();
    assertThat(afterRuns(Verdict.COMPLETED, 0).lost()).isEqualTo(1);
    assertThat(afterRuns(Verdict.MAY_HAVE_RUN, 2).duplicated()).isEqualTo(1);
    assertThat(afterRuns(Verdict.NOT_RUN, 1).falseNotRun()).isEqualTo(1);
  }

  @Test
  void detectsBrokenAndMissingResponses() {
    RequestTally tally = new RequestTally();
    tally.onResponse(Verdict.COMPLETED, false);
    tally.onNoResponse(new IllegalStateException("no answer"));
    tally.onTruncated();
    assertThat(tally.counts().truncated()).isEqualTo(1);
    assertThat(tally.counts().broken()).isEqualTo(1);
    assertThat(tally.counts().lost()).isEqualTo(1);
    assertThat(tally.counts().isClean()).isFalse();
  }

  @Test
  void detectsSamplesThatViolateInvariants() {
    SampleTally tally = new SampleTally(1);
    tally.onSample(sample(5, 5), 6);
    assertThat(tally.counts().isClean()).isTrue();
    tally.onSample(sample(4, 4), 6);
    assertThat(tally.counts().stale()).isEqualTo(1);
    tally.onSample(sample(6, 5), 6);
    assertThat(tally.counts().misattributed()).isEqualTo(1);
    tally.onStep(32, 36);
    tally.onStep(32, 28);
    assertThat(tally.counts().duplicated()).isEqualTo(4);
    assertThat(tally.counts().lost()).isEqualTo(4);
  }

  private static RequestTally.Counts afterRuns(Verdict verdict, int runs) {
    RequestTally tally = new RequestTally();
    tally.onRuns(verdict, runs);
    return tally.counts();
  }

  private static StepPageMessage.Sample sample(long attributedVersion, long generatingVersion) {
    List<Integer> tokens = List.of((int) generatingVersion * EngineStandIn.TOKEN_BASE);
    return new StepPageMessage.Sample(
        0, tokens, "w", "stop", List.of(new StepPageMessage.Span(attributedVersion, 0, 1)), null);
  }
}
