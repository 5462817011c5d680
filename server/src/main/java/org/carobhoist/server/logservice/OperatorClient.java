package org.carobhoist.server.logservice;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.JitteredBackoff;
import org.carobhoist.core.profile.ChangeSubmission;
import org.carobhoist.core.profile.ConfigReplica;
import org.carobhoist.core.profile.FoldOutcome;
import org.carobhoist.core.profile.LogItem;
import org.carobhoist.core.profile.OpaqueRecord;
import org.carobhoist.core.profile.ProfileChange;
import org.carobhoist.core.profile.ProfileFold;
import org.carobhoist.core.profile.ProfileSnapshot;
import org.carobhoist.core.profile.ReplicaListener;
import org.carobhoist.core.profile.SubmissionPort;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Reads and changes the configuration on behalf of an operator. The client folds the log itself, as
 * every process does, so it doesn't depend on any of them. The outcome of a change is determined by
 * the fold alone.
 */
public final class OperatorClient implements AutoCloseable {

  private static final Duration RETRY_BASE = Duration.ofMillis(500);
  private static final Duration RETRY_CAP = Duration.ofSeconds(4);
  private static final Duration POLL_WAIT = Duration.ofSeconds(5);
  private static final int MAX_APPENDS = 10;

  private final HttpPlatform platform;
  private final Duration timeout;
  private final DecisionLoop loop = DecisionLoop.create("operator");
  private final SplittableRandom random = new SplittableRandom();
  private final List<HistoryItem> history = new ArrayList<>();
  private final ConfigReplica replica = ConfigReplica.create(new HistoryRecorder());
  private final JitteredBackoff readBackoff =
      JitteredBackoff.create(RETRY_BASE, RETRY_CAP, random.split());
  private Submission submission;

  /**
   * A change that the log still holds.
   *
   * @param offset the offset of the change in the log
   * @param change the change
   * @param outcome the outcome of the change in the fold
   */
  public record HistoryItem(long offset, ProfileChange change, FoldOutcome outcome) {}

  private OperatorClient(HttpPlatform platform, Duration timeout) {
    this.platform = platform;
    this.timeout = timeout;
  }

  /**
   * Creates a client.
   *
   * @param platform base URL of the platform
   * @param timeout time limit for each operation of the client
   */
  public static OperatorClient create(URI platform, Duration timeout) {
    return new OperatorClient(HttpPlatform.at(platform), timeout);
  }

  /** Reads the log to its end. The returned fold doesn't change until the next call. */
  public CompletableFuture<ProfileFold> read() {
    CompletableFuture<ProfileFold> fold = new CompletableFuture<>();
    loop.execute(() -> readToEnd(Duration.ZERO, () -> fold.complete(replica.fold())));
    return fold.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Returns the changes that the log still holds, oldest first. Call {@link #read} before. */
  public List<HistoryItem> history() {
    return List.copyOf(history);
  }

  /** Submits a change. The future completes with its outcome once the log shows the change. */
  public CompletableFuture<FoldOutcome> submit(ProfileChange change) {
    CompletableFuture<FoldOutcome> outcome = new CompletableFuture<>();
    loop.execute(
        () -> {
          submission = new Submission(change, outcome);
          submission.changeSubmission.start();
          pollUntilSettled();
        });
    return outcome.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Returns the platform's instance list. */
  public InstanceList instances() {
    return platform;
  }

  @Override
  public void close() {
    loop.stop().join();
  }

  private void pollUntilSettled() {
    if (!submission.changeSubmission.isSettled()) {
      readToEnd(POLL_WAIT, this::pollUntilSettled);
    }
  }

  private void readToEnd(Duration wait, Runnable onEndReached) {
    long from = replica.readFrom();
    platform
        .read(from, wait)
        .whenCompleteAsync(
            Callbacks.reported((batch, failure) -> onRead(from, batch, failure, onEndReached)),
            loop);
  }

  private void onRead(long from, LogBatch batch, Throwable failure, Runnable onEndReached) {
    if (failure != null) {
      loop.after(readBackoff.nextDelay(), () -> readToEnd(Duration.ZERO, onEndReached));
      return;
    }
    readBackoff.reset();
    replica.onLog(batch.toRead(from));
    if (!replica.hasGap() && replica.nextOffset() >= batch.next()) {
      onEndReached.run();
      return;
    }
    // At the end of the log only a snapshot can close the gap, so wait until one is appended.
    Duration wait = replica.readFrom() >= batch.next() ? POLL_WAIT : Duration.ZERO;
    readToEnd(wait, onEndReached);
  }

  private final class Submission implements SubmissionPort {

    private final CompletableFuture<FoldOutcome> outcome;
    private final ChangeSubmission changeSubmission;

    private Submission(ProfileChange change, CompletableFuture<FoldOutcome> outcome) {
      this.outcome = outcome;
      JitteredBackoff backoff = JitteredBackoff.create(RETRY_BASE, RETRY_CAP, random.split());
      this.changeSubmission = ChangeSubmission.create(this, change, backoff, MAX_APPENDS);
    }

    @Override
    public void append(ProfileChange change) {
      platform
          .append(LogRecords.encode(change))
          .exceptionallyAsync(
              failure -> {
                changeSubmission.onAppendFailed();
                return null;
              },
              loop);
    }

    @Override
    public void after(Duration delay, Runnable task) {
      loop.after(delay, task);
    }

    @Override
    public void onSettled(FoldOutcome settled) {
      outcome.complete(settled);
    }

    @Override
    public void onGivenUp() {
      outcome.completeExceptionally(new IllegalStateException("the log doesn't answer"));
    }
  }

  private final class HistoryRecorder implements ReplicaListener {

    @Override
    public void onChange(long offset, ProfileChange change, FoldOutcome outcome) {
      history.add(new HistoryItem(offset, change, outcome));
      if (submission != null) {
        submission.changeSubmission.onChange(change, outcome);
      }
    }

    @Override
    public void onOpaqueRecord(LogItem item, OpaqueRecord record) {}

    @Override
    public void onSkipped(long offset, String reason) {}

    @Override
    public void onInstalled(ProfileSnapshot snapshot) {
      if (submission != null) {
        submission.changeSubmission.onInstalled(snapshot);
      }
    }
  }
}
