package org.carobhoist.server.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carobhoist.core.profile.FoldOutcome;
import org.carobhoist.core.profile.ProfileChange;
import org.carobhoist.core.profile.ProfileFold;
import org.carobhoist.server.link.proto.LogRecord;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.DecisionLoop;
import org.carobhoist.server.state.StateSource;

/** Follows the platform's log by long poll and folds its records into the configuration. */
public final class ConfigFollower implements StateSource {

  private static final Duration POLL_WAIT = Duration.ofSeconds(5);
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);

  private final PlatformLog log;
  private final DecisionLoop loop;
  private final ProfileFold fold = ProfileFold.create();
  private final List<RecordListener> listeners = new ArrayList<>();
  private final List<LogListener> readers = new ArrayList<>();
  private boolean reachable = true;
  private volatile boolean ready;

  /** State dump of the configuration. */
  public record State(long revision, long appliedOffset, boolean ready, boolean logReachable) {}

  private ConfigFollower(PlatformLog log, DecisionLoop loop) {
    this.log = log;
    this.loop = loop;
  }

  /** Returns a follower that hasn't started; its fold is touched on the loop only. */
  public static ConfigFollower create(PlatformLog log, DecisionLoop loop) {
    return new ConfigFollower(log, loop);
  }

  /** Begins to follow the log. */
  public void start() {
    loop.execute(() -> poll(Duration.ZERO));
  }

  /** Adds a listener for weight orders and home views; to be called before {@link #start}. */
  public void onRecord(RecordListener listener) {
    listeners.add(listener);
  }

  /** Lets a listener see every read; to be called before the start. */
  public void listen(LogListener listener) {
    readers.add(listener);
  }

  /** Returns the configuration; to be used on the loop only. */
  public ProfileFold fold() {
    return fold;
  }

  /** Returns whether the process has a configuration to serve from; may be read on any thread. */
  public boolean isReady() {
    return ready;
  }

  @Override
  public String name() {
    return "configuration";
  }

  @Override
  public Object state() {
    return new State(fold.revision().offset(), fold.appliedOffset(), ready, reachable);
  }

  private void poll(Duration wait) {
    long from = fold.appliedOffset() + 1;
    readers.forEach(LogListener::onReadSent);
    log.read(from, wait).whenCompleteAsync((batch, failure) -> onRead(from, batch, failure), loop);
  }

  private void onRead(long from, LogBatch batch, Throwable failure) {
    if (failure != null) {
      if (reachable) {
        EventLog.warn(LogEvent.LOG_UNREACHABLE, "cause", failure.getMessage());
      }
      reachable = false;
      loop.after(RETRY_DELAY, () -> poll(Duration.ZERO));
      return;
    }
    reachable = true;
    readers.forEach(l -> l.onBatch(from, batch));
    batch.records().forEach(this::apply);
    if (batch.records().isEmpty() || fold.appliedOffset() + 1 >= batch.next()) {
      ready = true;
    }
    poll(POLL_WAIT);
  }

  private void apply(LogBatch.StoredRecord record) {
    if (record.offset() <= fold.appliedOffset()) {
      return;
    }
    LogRecord body = LogRecords.decode(record.data()).orElse(LogRecord.getDefaultInstance());
    switch (body.getBodyCase()) {
      case CHANGE -> applyChange(record.offset(), body);
      case WEIGHT_ORDER, HOME_VIEW ->
          listeners.forEach(l -> l.onRecord(record.offset(), record.timeMillis(), body));
      default -> EventLog.info(LogEvent.RECORD_SKIPPED, "offset", record.offset());
    }
    fold.advance(record.offset());
  }

  private void applyChange(long offset, LogRecord body) {
    LogRecords.change(body.getChange())
        .ifPresentOrElse(
            change -> apply(offset, change),
            () -> EventLog.info(LogEvent.RECORD_SKIPPED, "offset", offset));
  }

  private void apply(long offset, ProfileChange change) {
    FoldOutcome outcome = fold.apply(offset, change);
    LogEvent event =
        outcome.status() == FoldOutcome.Status.ACCEPTED
            ? LogEvent.PROFILE_IN_FORCE
            : LogEvent.PROFILE_VOID;
    EventLog.info(
        event,
        "profile",
        change.profile(),
        "revision",
        outcome.current(),
        "change",
        change.changeId(),
        "detail",
        outcome.detail());
  }
}
