package org.carobhoist.core.placement;

import java.time.Duration;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobItem;

/** The coordinator's state of one item of an open job. */
final class ItemState {

  /** Minimum of events still expected from a run that has exceeded its estimate. */
  private static final int LEAST_LEFT = 2;

  /** Events still expected from such a run, as a fraction of the events that it already has. */
  private static final double LEFT_SHARE = 0.4;

  /** Tokens per event if the manifest doesn't specify them. */
  private static final int DEFAULT_EVENT_TOKENS = 1;

  private Job job;
  private final JobItem item;
  private RunText text = RunText.empty();
  private Phase phase = Phase.WAITING;
  private int failures;
  private long run;
  private InstanceId runner;
  private EngineLoad engine;
  private Duration changedAt = Duration.ZERO;
  private boolean cancelling;
  private InstanceId lister;

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
  void onStored(Job stored) {
    job = stored;
  }

  JobItem item() {
    return item;
  }

  RunText text() {
    return text;
  }

  void replaceText(RunText newText) {
    text = newText;
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

  int countFailure() {
    return ++failures;
  }

  void onStart(long newRun, InstanceId newRunner, EngineLoad newEngine, Duration now) {
    run = newRun;
    runner = newRunner;
    engine = newEngine;
    phase = Phase.RUNNING;
    cancelling = false;
    changedAt = now;
    newEngine.add(this);
  }

  void onChange(Duration now) {
    changedAt = now;
  }

  void onCancelling(Duration now) {
    cancelling = true;
    changedAt = now;
  }

  /** Ends the run, if there is one. */
  void onEnd(Phase next, Duration now) {
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
  void onFinished(InstanceId byRunner, Duration now) {
    phase = Phase.DONE;
    lister = byRunner;
    changedAt = now;
  }

  /** Returns whether the text is complete and the given runner is expected to publish it. */
  boolean isListedBy(InstanceId someRunner) {
    return phase == Phase.DONE && text.isComplete() && someRunner.equals(lister);
  }

  /** Returns the number of events that are still expected. */
  int eventsLeft(int eventTokens) {
    int expected = expectedEvents(eventTokens);
    int done = text.events();
    return done < expected ? expected - done : Math.max(LEAST_LEFT, (int) (done * LEFT_SHARE));
  }

  /** Returns the expected number of tokens of the prompt and the complete text. */
  long expectedTokens(int eventTokens) {
    return item.promptTokens() + (long) eventTokens * (text.events() + eventsLeft(eventTokens));
  }

  private int expectedEvents(int eventTokens) {
    int hint = item.expectedTokens();
    int most = item.maxTokens();
    int tokens = hint > 0 && most > 0 ? Math.min(hint, most) : Math.max(hint, most);
    int each = Math.max(DEFAULT_EVENT_TOKENS, eventTokens);
    return Math.max(1, (tokens + each - 1) / each);
  }
}
