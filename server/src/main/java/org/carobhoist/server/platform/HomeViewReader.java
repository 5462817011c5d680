package org.carobhoist.server.platform;

import java.util.function.BiConsumer;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.idempotency.HomeView;

/**
 * Picks the home views out of a process's reads of the log, each once and in order. It notices
 * records that were never read, whether they had left the log or the reader jumped over them.
 */
public final class HomeViewReader implements LogListener {

  private final BiConsumer<ServiceName, HomeView> views;
  private final Runnable sent;
  private final Runnable gap;
  private final Runnable caughtUp;
  private long next;

  private HomeViewReader(
      BiConsumer<ServiceName, HomeView> views, Runnable sent, Runnable gap, Runnable caughtUp) {
    this.views = views;
    this.sent = sent;
    this.gap = gap;
    this.caughtUp = caughtUp;
  }

  /**
   * Returns a reader.
   *
   * @param views takes each view
   * @param sent told when a read is about to be sent
   * @param gap told when records were missed, before the next view
   * @param caughtUp told when the read sent last has reached the log's end
   */
  public static HomeViewReader create(
      BiConsumer<ServiceName, HomeView> views, Runnable sent, Runnable gap, Runnable caughtUp) {
    return new HomeViewReader(views, sent, gap, caughtUp);
  }

  @Override
  public void onReadSent() {
    sent.run();
  }

  @Override
  public void onBatch(long from, LogBatch batch) {
    long first = Math.max(from, batch.first());
    if (first > next) {
      gap.run();
      next = first;
    }
    for (LogBatch.StoredRecord record : batch.records()) {
      if (record.offset() >= next) {
        HomeRecords.decode(record, views);
        next = record.offset() + 1;
      }
    }
    if (next >= batch.next()) {
      caughtUp.run();
    }
  }
}
