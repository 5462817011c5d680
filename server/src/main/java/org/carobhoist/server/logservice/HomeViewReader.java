package org.carobhoist.server.logservice;

import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.idempotency.HomeView;

/**
 * Picks the home views out of a process's reads of the log, each once and in order. Where the
 * process jumps over records, since a peer sent them, it reads those for itself; such a read never
 * renews a lease. Records that have left the log unread are reported as a gap. Used on the loop.
 */
public final class HomeViewReader implements LogListener {

  private static final long FIRST_OFFSET = 1;

  private final PlatformLog log;
  private final Executor loop;
  private final BiConsumer<ServiceName, HomeView> views;
  private final LeaseEvents lease;
  private long next = FIRST_OFFSET;
  private boolean readingMissed;

  /** What a lease has to know of the reads. */
  public interface LeaseEvents {

    /** A read is about to be sent. */
    void onReadSent();

    /** Records have left the log unread; called before the next view. */
    void onGap();

    /** The read sent last has reached the log's end. */
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
   * Returns a reader.
   *
   * @param views takes each view
   * @param lease told of the reads
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
