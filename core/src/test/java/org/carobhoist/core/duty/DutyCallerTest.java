package org.carobhoist.core.duty;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.carobhoist.core.testing.FaultMatrix;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

/**
 * Guards against calls without the lease, with an outdated fencing number, too soon after a
 * takeover or two at a time, and against calls that are dropped or changed when they are repeated.
 */
final class DutyCallerTest {

  @Test
  void everyEventInEveryStateKeepsTheRules() throws IOException {
    FaultMatrix<DutyState, DutyEvent> matrix =
        FaultMatrix.of("duty", DutyState.class, DutyEvent.class);
    assertThat(matrix.run(faults -> DutySimulation.run(faults, true))).isEmpty();
    assertThat(matrix.cellCount()).isEqualTo(28 + 28 * 29 / 2);
  }

  /** Fails if the check of the permission before each send is removed. */
  @Test
  void matrixFindsSendsWithoutPermission() {
    FaultMatrix<DutyState, DutyEvent> matrix =
        FaultMatrix.of("duty-unchecked", DutyState.class, DutyEvent.class);
    assertThat(matrix.findBroken(faults -> DutySimulation.run(faults, false)))
        .isNotEqualTo(Optional.empty());
  }

  @Test
  void unansweredCallIsRepeatedAfterHalfToTwoSeconds() {
    ManualClock clock = new ManualClock();
    SilentPort port = new SilentPort(clock);
    DutyCaller caller =
        DutyCaller.create(
            port, DutyPolicy.of(50, Duration.ZERO), clock, () -> true, new SplittableRandom(1));
    caller.onAcquired(4);
    for (int i = 0; i < 3_000; i++) {
      caller.tick();
      clock.advance(Duration.ofMillis(10));
    }
    assertThat(port.sentAt.size()).isAtLeast(8);
    for (int i = 1; i < port.sentAt.size(); i++) {
      long millis = port.sentAt.get(i).minus(port.sentAt.get(i - 1)).toMillis();
      assertThat(millis).isAtLeast(1_500);
      assertThat(millis).isAtMost(3_020);
    }
    assertThat(port.attempts).isAtLeast(8);
  }

  private static final class SilentPort implements DutyPort {

    private final ManualClock clock;
    private final List<Duration> sentAt = new ArrayList<>();
    private int attempts;

    private SilentPort(ManualClock clock) {
      this.clock = clock;
    }

    @Override
    public Optional<DutyCall> nextCall() {
      return Optional.of(new DutyCall(1, new byte[] {1}));
    }

    @Override
    public void send(long number, long term, DutyCall call) {
      sentAt.add(clock.elapsed());
    }

    @Override
    public void onAccepted(DutyCall call, int count) {}

    @Override
    public void onUnanswered(DutyCall call, int count) {
      attempts = count;
    }

    @Override
    public void onFenced(long term) {}
  }
}
