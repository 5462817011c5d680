package org.carobhoist.core.report;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.carobhoist.core.report.StepLoss.Cause;
import org.junit.jupiter.api.Test;

final class StepLogTest {

  private static final Instant START = Instant.parse("2026-12-04T00:00:00Z");

  private final StepLog log = StepLog.create();

  private void add(long millis, int event, String fields) {
    String line = START.plusMillis(millis) + " INFO event=" + event + " text=\"t\" " + fields;
    log.add(LogLine.parse(line).orElseThrow());
  }

  private void place(long millis, String item, int run, String engine, int done) {
    add(millis, 7201, "job=j item=" + item + " run=" + run + " engine=" + engine + " done=" + done);
  }

  private void end(long millis, String item, int run, String engine, int events, String outcome) {
    String fields = "job=j item=" + item + " run=" + run + " engine=" + engine;
    add(millis, 7206, fields + " outcome=" + outcome + " events=" + events);
  }

  @Test
  void attributesLossesOfItemThatEndedLast() {
    add(10, 7101, "job=j items=2 status=202 ms=10");
    place(100, "short", 1, "fast", 0);
    end(1_100, "short", 1, "fast", 100, "FINISHED");
    place(200, "long", 2, "slow", 0);
    end(1_200, "long", 2, "slow", 50, "BROKEN");
    place(1_500, "long", 3, "fast", 40);
    end(3_100, "long", 3, "fast", 200, "FINISHED");
    add(3_200, 7104, "job=j listed=2");

    StepLoss step = log.losses().get(0);
    assertThat(step.items()).isEqualTo(2);
    assertThat(step.took()).isEqualTo(Duration.ofMillis(3_200));
    assertThat(step.bound()).isEqualTo(Duration.ofMillis(2_000));
    assertThat(step.loss(Cause.WAITING)).isEqualTo(Duration.ofMillis(200));
    assertThat(step.loss(Cause.SLOW)).isEqualTo(Duration.ofMillis(500));
    assertThat(step.loss(Cause.RESUMED)).isEqualTo(Duration.ofMillis(300 + 100));
    assertThat(step.loss(Cause.READING)).isEqualTo(Duration.ofMillis(100));
    assertThat(step.ratio()).isWithin(1e-9).of(1.6);
  }

  @Test
  void attributesExcessTimeToWeightLoadDuringRun() {
    add(0, 7101, "job=j items=2 status=202 ms=0");
    place(0, "a", 1, "e", 0);
    end(1_000, "a", 1, "e", 100, "FINISHED");
    add(1_500, 7301, "engine=f version=2");
    place(1_000, "b", 2, "f", 0);
    end(3_000, "b", 2, "f", 100, "FINISHED");
    add(3_000, 7104, "job=j listed=2");

    assertThat(log.losses().get(0).loss(Cause.LOADING)).isEqualTo(Duration.ofMillis(1_000));
    assertThat(log.losses().get(0).loss(Cause.SLOW)).isEqualTo(Duration.ZERO);
  }

  @Test
  void acceptsLinesInAnyOrder() {
    add(1_000, 7104, "job=j listed=1");
    end(900, "a", 1, "e", 80, "FINISHED");
    place(100, "a", 1, "e", 0);
    add(0, 7101, "job=j items=1 status=202 ms=0");

    StepLoss step = log.losses().get(0);
    assertThat(step.bound()).isEqualTo(Duration.ofMillis(800));
    assertThat(step.loss(Cause.WAITING)).isEqualTo(Duration.ofMillis(100));
  }

  @Test
  void countsUnfinishedStepsWithoutLosses() {
    add(0, 7101, "job=j items=1 status=202 ms=0");
    add(0, 7101, "job=k items=1 status=202 ms=0");
    add(9, 7104, "job=k listed=0");
    assertThat(log.losses()).isEmpty();
    assertThat(log.acceptedCount()).isEqualTo(2);
  }

  @Test
  void tableEndsWithSummary() {
    add(0, 7101, "job=j items=1 status=202 ms=0");
    place(100, "a", 1, "e", 0);
    end(900, "a", 1, "e", 80, "FINISHED");
    add(1_000, 7104, "job=j listed=1");

    List<String> lines = LossTable.lines(log.losses());
    assertThat(lines).hasSize(4);
    assertThat(lines.get(3)).isEqualTo("time against the bound: median 1.25, worst 1.25, steps 1");
  }
}
