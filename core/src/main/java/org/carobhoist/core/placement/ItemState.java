package org.carobhoist.core.placement;

import java.time.Duration;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.job.Job;
import org.carobhoist.core.job.JobItem;

/** An item of an open job at the coordinator. */
final class ItemState {

  /** Least events that a run which has outlived its estimate is expected to go on for. */
  private static final int LEAST_LEFT = 2;

  /** Events that such a run is expected to go on for, as a part of those that it has. */
  private static final double LEFT_SHARE = 0.4;

  /** Tokens of one event where the manifest doesn't tell. */
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

  /** Where an item stands. */
  enum Phase {
    /** It waits for an engine. */
    WAITING,
    /** It has a run. */
    RUNNING,
    /** Its result is to be listed. */
    DONE
  }

  ItemState(Job job, JobItem item) {
    this.job = job;
    this.item = item;
  }

  Job job() {
    return job;
  }

  /** Takes the job as the store has it, in place of one that was not there yet. */
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

  /** Takes the whole text, whose result a runner is about to list. */
  void onFinished(InstanceId byRunner, Duration now) {
    phase = Phase.DONE;
    lister = byRunner;
    changedAt = now;
  }

  /** Returns whether the text is whole and its result is expected from a runner. */
  boolean isListedBy(InstanceId someRunner) {
    return phase == Phase.DONE && text.isComplete() && someRunner.equals(lister);
  }

  /** Returns how many more events are expected. */
  int eventsLeft(int eventTokens) {
    int expected = expectedEvents(eventTokens);
    int done = text.events();
    return done < expected ? expected - done : Math.max(LEAST_LEFT, (int) (done * LEFT_SHARE));
  }

  /** Returns the tokens that prompt and text are expected to fill. */
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
