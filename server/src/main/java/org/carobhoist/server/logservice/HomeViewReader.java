package org.carobhoist.server.logservice;

import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.idempotency.HomeView;

/**
 * Extracts the home views from the log reads of a process, each view once and in order. If the
 * process skips records because a peer has sent them, this class reads the skipped records itself;
 * such a read never renews a lease. Records that were removed from the log before they were read
 * are reported as a gap. All methods must be called on the loop.
 */
public final class HomeViewReader implements LogListener {

  private static final long FIRST_OFFSET = 1;

  private final PlatformLog log;
  private final Executor loop;
  private final BiConsumer<ServiceName, HomeView> views;
  private final LeaseEvents lease;
  private long next = FIRST_OFFSET;
  private boolean readingMissed;

  /** Listener for the log reads on which a lease depends. */
  public interface LeaseEvents {

    /** Called before a read is sent. */
    void onReadSent();

    /** Called before the next view if records were removed from the log before they were read. */
    void onGap();

    /** Called when the last sent read has reached the end of the log. */
    void onCaughtUp();
  }

  private HomeViewReader(
      PlatformLog log, Executor loop, BiConsumer<ServiceName, HomeView> views, LeaseEvents lease) {
    this.log = log;
    this.loop = loop;
    this.views = views;
    this.lease = lease;
  }

  /**
   * Creates a reader.
   *
   * @param views receives each view
   * @param lease notified of the reads
   */
  public static HomeViewReader create(
      PlatformLog log, Executor loop, BiConsumer<ServiceName, HomeView> views, LeaseEvents lease) {
    return new HomeViewReader(log, loop, views, lease);
  }

  @Override
  public void onReadSent() {
    lease.onReadSent();
  }

  @Override
  public void onBatch(long from, LogBatch batch) {
    skipLost(batch);
    if (from > next) {
      readMissed();
      return;
    }
    take(batch);
    if (next >= batch.next()) {
      lease.onCaughtUp();
    }
  }

  private void skipLost(LogBatch batch) {
    if (batch.first() > next) {
      lease.onGap();
      next = batch.first();
    }
  }

  private void take(LogBatch batch) {
    for (LogBatch.StoredRecord record : batch.records()) {
      if (record.offset() >= next) {
        HomeRecords.decode(record, views);
        next = record.offset() + 1;
      }
    }
  }

  private void readMissed() {
    if (readingMissed) {
      return;
    }
    readingMissed = true;
    log.read(next, Duration.ZERO)
        .whenCompleteAsync((batch, failure) -> onMissed(batch, failure), loop);
  }

  private void onMissed(LogBatch batch, Throwable failure) {
    readingMissed = false;
    if (failure != null) {
      return;
    }
    skipLost(batch);
    long before = next;
    take(batch);
    if (next > before && next < batch.next()) {
      readMissed();
    }
  }
}
