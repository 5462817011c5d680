package org.carobhoist.server.logservice;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.JitteredBackoff;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Appends the records of one process sequentially and at a limited rate. After a failure, the next
 * append is delayed by an exponential backoff with jitter, so that the processes of a whole site
 * don't all retry at once after an outage. A failed append isn't retried here: it may have taken
 * effect, and only the caller knows whether a repetition is harmless.
 */
public final class LogAppender {

  private static final Duration SPACING = Duration.ofMillis(250);
  private static final Duration RETRY_BASE = Duration.ofMillis(500);
  private static final Duration RETRY_CAP = Duration.ofSeconds(8);
  private static final int MAX_PENDING = 64;

  private final PlatformLog log;
  private final DecisionLoop loop;
  private final JitteredBackoff backoff;
  private final Deque<PendingAppend> queue = new ArrayDeque<>();
  private boolean busy;

  private record PendingAppend(byte[] record, CompletableFuture<Long> offset) {}

  private LogAppender(PlatformLog log, DecisionLoop loop, SplittableRandom random) {
    this.log = log;
    this.loop = loop;
    this.backoff = JitteredBackoff.create(RETRY_BASE, RETRY_CAP, random);
  }

  /** Creates an appender, which must be used on the loop only. */
  public static LogAppender create(PlatformLog log, DecisionLoop loop, SplittableRandom random) {
    return new LogAppender(log, loop, random);
  }

  /**
   * Appends a record after all records submitted before it.
   *
   * @return the offset of the record. If the future fails, it is unknown whether the record was
   *     appended, unless it fails with an {@link IllegalStateException}: then the record was not
   *     appended, because too many appends are pending.
   */
  public CompletableFuture<Long> append(byte[] record) {
    PendingAppend pending = new PendingAppend(record, new CompletableFuture<>());
    if (queue.size() >= MAX_PENDING) {
      pending.offset().completeExceptionally(new IllegalStateException("too many pending appends"));
      return pending.offset();
    }
    queue.add(pending);
    startNext();
    return pending.offset();
  }

  private void startNext() {
    if (busy || queue.isEmpty()) {
      return;
    }
    busy = true;
    PendingAppend head = queue.remove();
    log.append(head.record())
        .whenCompleteAsync(
            Callbacks.reported((offset, failure) -> onAppended(head, offset, failure)), loop);
  }

  private void onAppended(PendingAppend head, Long offset, Throwable failure) {
    loop.after(failure == null ? SPACING : backoff.nextDelay(), this::release);
    if (failure != null) {
      head.offset().completeExceptionally(failure);
      return;
    }
    backoff.reset();
    head.offset().complete(offset);
  }

  private void release() {
    busy = false;
    startNext();
  }
}
