package org.carobhoist.server.logservice;

import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.idempotency.HomeView;

/**
 * Extracts the home views from the log reads of a process, each view once and in order. A {@link
 * HomeView} lists the sidecars among which the caller-generated keys of a service are distributed.
 * If the process skips records because a peer has sent them, this class reads the records itself;
 * such a read never renews a lease. Records that were removed from the log before they were read
 * are reported as a gap. All methods must be called on the loop.
 */
public final class HomeViewReader implements LogReadListener {

  private static final long FIRST_OFFSET = 1;

  private final PlatformLog log;
  private final Executor loop;
  private final BiConsumer<ServiceName, HomeView> viewConsumer;
  private final LeaseEvents leaseEvents;
  private long nextOffset = FIRST_OFFSET;
  private boolean readingSkipped;

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
      PlatformLog log,
      Executor loop,
      BiConsumer<ServiceName, HomeView> viewConsumer,
      LeaseEvents leaseEvents) {
    this.log = log;
    this.loop = loop;
    this.viewConsumer = viewConsumer;
    this.leaseEvents = leaseEvents;
  }

  /**
   * Creates a reader.
   *
   * @param viewConsumer receives each view
   * @param leaseEvents notified of the reads
   */
  public static HomeViewReader create(
      PlatformLog log,
      Executor loop,
      BiConsumer<ServiceName, HomeView> viewConsumer,
      LeaseEvents leaseEvents) {
    return new HomeViewReader(log, loop, viewConsumer, leaseEvents);
  }

  @Override
  public void onReadSent() {
    leaseEvents.onReadSent();
  }

  @Override
  public void onBatch(long from, LogBatch batch) {
    skipRemoved(batch);
    if (from > nextOffset) {
      readSkipped();
      return;
    }
    deliverViews(batch);
    if (nextOffset >= batch.next()) {
      leaseEvents.onCaughtUp();
    }
  }

  private void skipRemoved(LogBatch batch) {
    if (batch.first() > nextOffset) {
      leaseEvents.onGap();
      nextOffset = batch.first();
    }
  }

  private void deliverViews(LogBatch batch) {
    for (LogBatch.StoredRecord record : batch.records()) {
      if (record.offset() >= nextOffset) {
        HomeRecords.decode(record, viewConsumer);
        nextOffset = record.offset() + 1;
      }
    }
  }

  private void readSkipped() {
    if (readingSkipped) {
      return;
    }
    readingSkipped = true;
    log.read(nextOffset, Duration.ZERO)
        .whenCompleteAsync(
            Callbacks.reported((batch, failure) -> onSkippedRead(batch, failure)), loop);
  }

  private void onSkippedRead(LogBatch batch, Throwable failure) {
    readingSkipped = false;
    if (failure != null) {
      return;
    }
    skipRemoved(batch);
    long previousOffset = nextOffset;
    deliverViews(batch);
    if (nextOffset > previousOffset && nextOffset < batch.next()) {
      readSkipped();
    }
  }
}
