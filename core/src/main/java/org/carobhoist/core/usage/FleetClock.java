package org.carobhoist.core.usage;

import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.common.Clock;

/**
 * The time of day that all gateways agree on: the monotonic clock of this process plus an offset
 * that the coordinator determines. The clock's {@code elapsed} must not follow the time of day, so
 * that setting the time of day has no effect. Before the first offset this is the process's own
 * time of day.
 */
public final class FleetClock {

  /** Reports within this difference of each other lead to the same offset. */
  private static final long TOLERANCE_MILLIS = 50;

  private final Clock clock;
  private Optional<Long> origin = Optional.empty();
  private Optional<Long> reportedOrigin = Optional.empty();
  private boolean ambiguous;

  private FleetClock(Clock clock) {
    this.clock = clock;
  }

  /** Returns a clock without an offset. */
  public static FleetClock create(Clock clock) {
    return new FleetClock(clock);
  }

  /** Returns the time in milliseconds since the start of 1970. */
  public long nowMillis() {
    return atElapsed(clock.elapsed());
  }

  /** Returns the time at a reading of the monotonic clock. */
  public long atElapsed(Duration elapsed) {
    return origin.orElseGet(this::ownOrigin) + elapsed.toMillis();
  }

  /** Returns the monotonic clock on which this clock is based. */
  public Clock monotonic() {
    return clock;
  }

  /** Returns the time of day of this process for a report to the coordinator. */
  public long wallMillisForReport() {
    long own = ownOrigin();
    ambiguous =
        ambiguous || reportedOrigin.filter(r -> Math.abs(r - own) > TOLERANCE_MILLIS).isPresent();
    reportedOrigin = Optional.of(own);
    return own + clock.elapsed().toMillis();
  }

  /** Called when a coordinator that knows no report of this process will get the next one. */
  public void forgetReports() {
    reportedOrigin = Optional.empty();
    ambiguous = false;
  }

  /**
   * Sets the offset that the coordinator has determined from a report. It is ignored if the time of
   * day was set between the reports, since it may refer to either of them.
   *
   * @param offsetMillis what to add to the reported time of day
   */
  public void onOffset(long offsetMillis) {
    if (!ambiguous) {
      origin = reportedOrigin.map(r -> r + offsetMillis).or(() -> origin);
    }
    ambiguous = false;
  }

  private long ownOrigin() {
    return clock.now().toEpochMilli() - clock.elapsed().toMillis();
  }
}
