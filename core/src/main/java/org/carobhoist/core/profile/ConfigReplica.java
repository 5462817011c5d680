package org.carobhoist.core.profile;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A process's replica of the configuration. It applies records in offset order, whether they come
 * from the log or from a peer. If the log no longer retains the next record, the replica searches
 * the retained records for a snapshot, installs the state that the snapshot contains, and continues
 * reading after the offset of that state. The replica never moves backwards: records at or below
 * the applied offset are ignored, and a snapshot is installed only if it is newer than the current
 * state and can be a successor of it.
 */
public final class ConfigReplica {

  private static final int MAX_RECENT = 256;
  private static final int MAX_RECENT_CHARS = 1 << 20;

  private final ReplicaRules rules;
  private final ReplicaListener listener;
  private final ProfileFold fold;
  private final Map<String, LogItem> opaqueRecords = new HashMap<>();
  private final Deque<LogItem> recent = new ArrayDeque<>();
  private int recentChars;
  private long logOffset;
  private long highestKnownOffset;
  private LogItem newestSnapshot = new LogItem(0, 0, new UnreadableRecord("none yet"));

  private ConfigReplica(ReplicaRules rules, ReplicaListener listener) {
    this.rules = rules;
    this.listener = listener;
    this.fold = ProfileFold.create(rules);
  }

  /** Returns the replica of an empty log. */
  public static ConfigReplica create(ReplicaListener listener) {
    return create(ReplicaRules.STRICT, listener);
  }

  static ConfigReplica create(ReplicaRules rules, ReplicaListener listener) {
    return new ConfigReplica(rules, listener);
  }

  /** Returns the configuration; the returned object changes as the replica advances. */
  public ProfileFold fold() {
    return fold;
  }

  /** Returns the offset that follows the last one applied. */
  public long nextOffset() {
    return fold.appliedOffset() + 1;
  }

  /**
   * Returns the offset from which to read the log. It advances only with responses from the log,
   * even if peers have already sent the same records, so that observers of the reads see every
   * record that the log retained.
   */
  public long readFrom() {
    return logOffset + 1;
  }

  /** Returns whether the log no longer retains the next record and no snapshot closed the gap. */
  public boolean hasGap() {
    return logOffset > fold.appliedOffset();
  }

  /** Returns whether all records that the log or a peer is known to have are applied. */
  public boolean isCurrent() {
    return fold.appliedOffset() >= highestKnownOffset;
  }

  /**
   * Records that the log has reached an offset.
   *
   * @param next the offset that follows the last existing record
   */
  public void raiseKnownOffset(long next) {
    highestKnownOffset = Math.max(highestKnownOffset, next - 1);
  }

  /** Returns the offset of the newest snapshot record applied, or 0 if there is none. */
  public long newestSnapshotOffset() {
    return newestSnapshot.offset();
  }

  /** Returns when that record was appended, in epoch milliseconds by the platform's clock. */
  public long newestSnapshotMillis() {
    return newestSnapshot.timeMillis();
  }

  /**
   * Applies the response to a log read. The response is ignored if it starts after {@link
   * #readFrom}, which happens if a peer's snapshot was installed while the read was in progress.
   *
   * @return whether the read position has changed
   */
  public boolean onLog(LogRead read) {
    long before = readFrom();
    raiseKnownOffset(read.next());
    if (read.from() > before) {
      return false;
    }
    logOffset = Math.max(logOffset, read.first() - 1);
    if (hasGap()) {
      installFrom(read);
    } else {
      read.items().forEach(this::applyRead);
    }
    return readFrom() != before;
  }

  /**
   * Applies an update from a peer.
   *
   * @return whether the update advanced this replica
   */
  public boolean onPeer(PeerUpdate update) {
    long before = fold.appliedOffset();
    raiseKnownOffset(update.next());
    if (update.snapshot().isPresent()) {
      return install(update.snapshot().get());
    }
    if (!rules.isContiguous(update, before)) {
      return false;
    }
    update.items().forEach(this::apply);
    fold.advance(update.next() - 1);
    return fold.appliedOffset() > before;
  }

  /** Returns the records that a peer needs if it has applied everything before an offset. */
  public PeerUpdate updateFor(long peerNext) {
    boolean reachesBack =
        !recent.isEmpty() && recent.peekFirst().offset() <= peerNext && peerNext > 1;
    if (!reachesBack) {
      return new PeerUpdate(nextOffset(), nextOffset(), List.of(), Optional.of(snapshot()));
    }
    List<LogItem> items = recent.stream().filter(i -> i.offset() >= peerNext).toList();
    return new PeerUpdate(peerNext, nextOffset(), items, Optional.empty());
  }

  /** Returns a snapshot of the current state. */
  public ProfileSnapshot snapshot() {
    return new ProfileSnapshot(
        fold.appliedOffset(),
        new ArrayList<>(fold.entries().values()),
        new ArrayList<>(opaqueRecords.values()));
  }

  /**
   * Installs a snapshot if it is newer than the current state and can be a successor of it.
   *
   * @return whether the snapshot was installed
   */
  public boolean install(ProfileSnapshot snapshot) {
    if (!snapshot.isWellFormed() || !rules.replaces(snapshot, snapshot())) {
      return false;
    }
    fold.install(snapshot);
    recent.clear();
    recentChars = 0;
    logOffset = Math.min(logOffset, snapshot.through());
    listener.onInstalled(snapshot);
    snapshot.opaqueRecords().forEach(this::applyOpaqueRecord);
    return true;
  }

  /**
   * Searches for a snapshot that, together with the records that the log retains, closes the gap.
   * The records after the offset of the snapshot's state are then read again.
   */
  private void installFrom(LogRead read) {
    for (LogItem item : read.items()) {
      logOffset = Math.max(logOffset, item.offset());
      if (item.body() instanceof ProfileSnapshot snapshot
          && snapshot.through() >= read.first() - 1
          && snapshot.through() < item.offset()
          && install(snapshot)) {
        return;
      }
    }
  }

  private void applyRead(LogItem item) {
    apply(item);
    logOffset = Math.max(logOffset, item.offset());
  }

  private void apply(LogItem item) {
    if (!rules.isNew(item.offset(), fold.appliedOffset())) {
      return;
    }
    if (item.body() instanceof ProfileChange change) {
      listener.onChange(item.offset(), change, fold.apply(item.offset(), change));
    } else if (item.body() instanceof OpaqueRecord) {
      applyOpaqueRecord(item);
    } else if (item.body() instanceof UnreadableRecord unreadable) {
      listener.onSkipped(item.offset(), unreadable.reason());
    } else {
      newestSnapshot = item;
    }
    fold.advance(item.offset());
    addToRecent(item);
  }

  private void applyOpaqueRecord(LogItem item) {
    OpaqueRecord record = (OpaqueRecord) item.body();
    LogItem existing = opaqueRecords.get(record.key());
    boolean takesEffect =
        existing == null
            || (existing.offset() < item.offset()
                && record.replaces((OpaqueRecord) existing.body()));
    if (takesEffect) {
      opaqueRecords.put(record.key(), item);
      listener.onOpaqueRecord(item, record);
    }
  }

  private void addToRecent(LogItem item) {
    recent.addLast(item);
    recentChars += size(item);
    while (recent.size() > MAX_RECENT || recentChars > MAX_RECENT_CHARS) {
      recentChars -= size(recent.removeFirst());
    }
  }

  private static int size(LogItem item) {
    if (item.body() instanceof ProfileChange change) {
      return change.document().length();
    }
    if (item.body() instanceof ProfileSnapshot snapshot) {
      return snapshot.profiles().stream().mapToInt(p -> p.document().length()).sum();
    }
    return item.body() instanceof OpaqueRecord f ? f.data().remaining() : 0;
  }
}
