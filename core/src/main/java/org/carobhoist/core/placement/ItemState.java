package org.carobhoist.core.placement;

import java.time.Duration;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobItem;

/** The coordinator's state of one item of an open job. */
final class ItemState {

  /** Minimum number of events expected from a run that has exceeded its estimate. */
  private static final int MIN_EVENTS_LEFT = 2;

  /**
   * Number of events expected from a run that has exceeded its estimate, as a fraction of the
   * events that it already has.
   */
  private static final double OVERRUN_FRACTION = 0.4;

  /** Tokens per event if the manifest doesn't specify them. */
  private static final int DEFAULT_TOKENS_PER_EVENT = 1;

  private Job job;
  private final JobItem item;
  private RunText text = RunText.empty();
  private Phase phase = Phase.WAITING;
  private int failures;
  private long run;
  private InstanceId runner;
  private EngineLoad engine;
  private Duration changedAt = Duration.ZERO;
  private Duration textChangedAt = Duration.ZERO;
  private boolean cancelling;
  private Duration pausedUntil = Duration.ZERO;
  private int sizeRefusals;
  private InstanceId publisher;

  /** Processing phase of an item. */
  enum Phase {
    /** The item waits for an engine. */
    WAITING,
    /** The item has a run at an engine. */
    RUNNING,
    /** The item needs no further run; its result is to be published. */
    DONE
  }

  ItemState(Job job, JobItem item) {
    this.job = job;
    this.item = item;
  }

  Job job() {
    return job;
  }

  /** Replaces a provisional job by the same job as read from the store. */
  void replaceJob(Job stored) {
    job = stored;
  }

  JobItem item() {
    return item;
  }

  RunText text() {
    return text;
  }

  void replaceText(RunText newText, Duration now) {
    text = newText;
    textChangedAt = now;
  }

  /** Returns when the item last received an event, or its text was replaced. */
  Duration textChangedAt() {
    return textChangedAt;
  }

  Phase phase() {
    return phase;
  }

  long run() {
    return run;
  }

  InstanceId runner() {
    return runner;
  }

  EngineLoad engine() {
    return engine;
  }

  /** Returns when the item last changed its phase or its text. */
  Duration changedAt() {
    return changedAt;
  }

  boolean isCancelling() {
    return cancelling;
  }

  /** Offers the item to no engine until the given time. */
  void pause(Duration until) {
    pausedUntil = until;
  }

  boolean isPaused(Duration now) {
    return now.compareTo(pausedUntil) < 0;
  }

  /** Counts a refusal by an engine whose memory the item exceeds; returns their number. */
  int countSizeRefusal() {
    return ++sizeRefusals;
  }

  /** Returns whether engines have refused the item, which exceeds their memory. */
  boolean isRefusedForSize() {
    return sizeRefusals > 0;
  }

  int countFailure() {
    return ++failures;
  }

  void startRun(long newRun, InstanceId newRunner, EngineLoad newEngine, Duration now) {
    run = newRun;
    runner = newRunner;
    engine = newEngine;
    phase = Phase.RUNNING;
    cancelling = false;
    changedAt = now;
    newEngine.add(this);
  }

  void markChanged(Duration now) {
    changedAt = now;
  }

  void markTextChanged(Duration now) {
    changedAt = now;
    textChangedAt = now;
    sizeRefusals = 0;
  }

  void markCancelling(Duration now) {
    cancelling = true;
    changedAt = now;
  }

  /** Ends the run, if there is one. */
  void clearRun(Phase next, Duration now) {
    if (engine != null) {
      engine.remove(this);
    }
    engine = null;
    runner = null;
    run = 0;
    phase = next;
    cancelling = false;
    changedAt = now;
  }

  /** Marks the item as done; the given runner is about to publish its result. */
  void markDone(InstanceId newPublisher, Duration now) {
    phase = Phase.DONE;
    publisher = newPublisher;
    changedAt = now;
  }

  /** Returns whether the text is complete and the given runner is expected to publish it. */
  boolean isPublishedBy(InstanceId someRunner) {
    return phase == Phase.DONE && text.isComplete() && someRunner.equals(publisher);
  }

  /** Returns the number of events that are still expected. */
  int eventsLeft(int tokensPerEvent) {
    int expected = expectedEvents(tokensPerEvent);
    int done = text.eventCount();
    return done < expected
        ? expected - done
        : Math.max(MIN_EVENTS_LEFT, (int) (done * OVERRUN_FRACTION));
  }

  /** Returns the expected number of tokens of the prompt and the complete text. */
  long expectedTokens(int tokensPerEvent) {
    return item.promptTokens()
        + (long) tokensPerEvent * (text.eventCount() + eventsLeft(tokensPerEvent));
  }

  private int expectedEvents(int tokensPerEvent) {
    int estimate = item.expectedTokens();
    int limit = item.maxTokens();
    int tokens = estimate > 0 && limit > 0 ? Math.min(estimate, limit) : Math.max(estimate, limit);
    int effectiveTokensPerEvent = Math.max(DEFAULT_TOKENS_PER_EVENT, tokensPerEvent);
    return Math.max(1, (tokens + effectiveTokensPerEvent - 1) / effectiveTokensPerEvent);
  }
}
