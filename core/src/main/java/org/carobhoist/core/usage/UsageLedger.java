package org.carobhoist.core.usage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Function;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.store.AppendOutcome;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.ShardTailer;
import org.carobhoist.core.store.Snapshot;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.core.store.TailListener;

/**
 * The stored state of usage reports: a checkpoint of undecided counts, and for each decided window
 * the exact body of its report. Only the coordinator reads the shard, once in each term, and then
 * appends on the condition that the shard ends where it has read to. Therefore a window is decided
 * once, also if a former coordinator's append is executed late. What is known here is what the
 * store holds: a decision takes effect when its record has been read or its append was confirmed.
 */
final class UsageLedger {

  private static final String CHECKPOINT_KEY = "open";
  private static final String DECISION_PREFIX = "window/";
  private static final long NONE = Long.MIN_VALUE;

  private final RecordStore store;
  private final UsageCodec codec;
  private final Function<TailListener, ShardTailer> tails;
  private final TreeMap<Long, byte[]> decisions = new TreeMap<>();
  private Optional<UsageCheckpoint> checkpoint = Optional.empty();
  private Optional<ShardTailer> tail = Optional.empty();
  private long decidedThrough = NONE;
  private long reportedThrough = NONE;
  private long openings;
  private boolean busy;
  private boolean read;
  private boolean appendFailed;

  /**
   * Creates a ledger that hasn't been read.
   *
   * @param tails creates a tailer of the ledger's shard, which isn't started
   */
  UsageLedger(RecordStore store, UsageCodec codec, Function<TailListener, ShardTailer> tails) {
    this.store = store;
    this.codec = codec;
    this.tails = tails;
  }

  /** Discards what is known and begins to read the shard to its end. */
  void open() {
    close();
    tail = Optional.of(tails.apply(new TermListener(openings)));
    readToEnd(tail.get());
  }

  /** Discards what is known; answers that are still to come are ignored. */
  void close() {
    openings++;
    tail = Optional.empty();
    busy = false;
    read = false;
    appendFailed = false;
    checkpoint = Optional.empty();
    decisions.clear();
    decidedThrough = NONE;
    reportedThrough = NONE;
  }

  /** Reads the shard again if the last attempt failed; called periodically. */
  void tick() {
    if (tail.isPresent() && !read && !busy) {
      readToEnd(tail.get());
    }
  }

  /** Returns whether the shard has been read to its end and no append is in progress. */
  boolean isReady() {
    return read && !busy;
  }

  /** Returns whether the shard has been read to its end in this term. */
  boolean isRead() {
    return read;
  }

  /** Returns whether no window has a decision yet, and the first one isn't determined. */
  boolean isEmpty() {
    return decidedThrough == NONE;
  }

  /** Returns the last decided window, or the one before the first; must not be empty. */
  long decidedThrough() {
    return decidedThrough;
  }

  /** Returns the checkpoint. */
  Optional<UsageCheckpoint> checkpoint() {
    return checkpoint;
  }

  /** Returns the first window that is decided and not known to be reported, with its body. */
  Optional<Map.Entry<Long, byte[]>> firstUnreported() {
    return Optional.ofNullable(decisions.higherEntry(reportedThrough));
  }

  /** Called when the platform has accepted the report of a window. */
  void onReported(long window) {
    reportedThrough = Math.max(reportedThrough, window);
  }

  /** Returns whether a window was reported since the last stored checkpoint. */
  boolean hasNewReports() {
    return checkpoint.map(c -> c.reportedThrough() < reportedThrough).orElse(false);
  }

  /** Returns whether an append wasn't confirmed since the last call. */
  boolean takeAppendFailure() {
    boolean out = appendFailed;
    appendFailed = false;
    return out;
  }

  /** Determines the first window; must be ready and empty. */
  void storeFirst(long window) {
    append(List.of(checkpointRecord(new UsageCheckpoint(List.of(), window - 1))));
  }

  /** Decides the next window; must be ready and not empty. */
  void decide(byte[] body) {
    long window = decidedThrough + 1;
    append(List.of(new KeyedRecord(DECISION_PREFIX + window, codec.encodeDecision(window, body))));
  }

  /** Stores undecided counts, and deletes decisions that were reported; must be ready. */
  void storeCheckpoint(List<UsageSource> sources) {
    List<KeyedRecord> records = new ArrayList<>();
    records.add(checkpointRecord(new UsageCheckpoint(sources, reportedThrough)));
    decisions
        .headMap(reportedThrough, true)
        .keySet()
        .forEach(window -> records.add(KeyedRecord.tombstone(DECISION_PREFIX + window)));
    append(records);
  }

  private KeyedRecord checkpointRecord(UsageCheckpoint value) {
    return new KeyedRecord(CHECKPOINT_KEY, codec.encodeCheckpoint(value));
  }

  private void append(List<KeyedRecord> records) {
    ShardTailer current = tail.orElseThrow();
    busy = true;
    Callbacks.start(
            () -> store.append(current.shard(), records, OptionalLong.of(current.nextOffset())))
        .whenComplete(
            Callbacks.reported(
                (outcome, failure) -> {
                  if (!isCurrent(current)) {
                    return;
                  }
                  busy = false;
                  if (outcome instanceof AppendOutcome.Appended appended) {
                    current.onAppended(appended.offset(), records);
                  } else {
                    // The records may have been stored nevertheless, or another process has
                    // appended
                    // some; reading the shard shows which.
                    appendFailed = true;
                    read = false;
                    readToEnd(current);
                  }
                }));
  }

  private void readToEnd(ShardTailer current) {
    busy = true;
    current
        .barrier()
        .whenComplete(
            Callbacks.reported(
                (ok, failure) -> {
                  if (isCurrent(current)) {
                    busy = false;
                    read = failure == null;
                  }
                }));
  }

  private boolean isCurrent(ShardTailer other) {
    return tail.filter(t -> t == other).isPresent();
  }

  private void apply(StoredRecord stored) {
    if (stored.key().equals(CHECKPOINT_KEY) && !stored.isTombstone()) {
      UsageCheckpoint value = codec.decodeCheckpoint(stored.value());
      checkpoint = Optional.of(value);
      reportedThrough = Math.max(reportedThrough, value.reportedThrough());
      decidedThrough = Math.max(decidedThrough, value.reportedThrough());
    } else if (stored.key().startsWith(DECISION_PREFIX)) {
      onDecision(Long.parseLong(stored.key().substring(DECISION_PREFIX.length())), stored);
    }
  }

  private void onDecision(long window, StoredRecord stored) {
    if (stored.isTombstone()) {
      decisions.remove(window);
    } else {
      decisions.putIfAbsent(window, codec.decodeDecision(stored.value()));
      decidedThrough = Math.max(decidedThrough, window);
    }
  }

  /** Passes the records of a tailer on while the term lasts for which it was created. */
  private final class TermListener implements TailListener {

    private final long number;

    private TermListener(long number) {
      this.number = number;
    }

    @Override
    public void onSnapshot(Snapshot snapshot) {
      if (number == openings) {
        decisions.clear();
        snapshot.forEach(snapshot.records(), UsageLedger.this::apply);
      }
    }

    @Override
    public void onRecord(StoredRecord stored) {
      if (number == openings) {
        apply(stored);
      }
    }
  }
}
