package org.carobhoist.core.profile;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One process's copy of the configuration. It applies every record in the order of the offsets,
 * whether it comes from the log or from a peer. Where the log no longer keeps the next record, it
 * looks for a snapshot record among those that are kept, installs the state of the snapshot's own
 * offset, and reads on from there. No source ever takes it back: records at or below the applied
 * offset are ignored, and a snapshot is installed only if it is newer and can be a later state of
 * the one held.
 */
public final class ConfigReplica {

  private static final int MAX_RECENT = 256;
  private static final int MAX_RECENT_CHARS = 1 << 20;

  private final ReplicaRules rules;
  private final ReplicaListener listener;
  private final ProfileFold fold;
  private final Map<String, LogItem> foreign = new HashMap<>();
  private final Deque<LogItem> recent = new ArrayDeque<>();
  private int recentChars;
  private long scanned;
  private long known;
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

  /** Returns the configuration; its state changes with the replica's. */
  public ProfileFold fold() {
    return fold;
  }

  /** Returns the offset after the last one applied. */
  public long nextOffset() {
    return fold.appliedOffset() + 1;
  }

  /** Returns the offset from which to read the log: the next one, or further on in a gap. */
  public long readFrom() {
    return Math.max(nextOffset(), scanned + 1);
  }

  /** Returns whether the log has forgotten the next record and no snapshot has closed the gap. */
  public boolean hasGap() {
    return scanned > fold.appliedOffset();
  }

  /** Returns whether everything that the log or a peer is known to hold has been applied. */
  public boolean isCurrent() {
    return fold.appliedOffset() >= known;
  }

  /** Notes that records up to before an offset exist. */
  public void noteKnown(long next) {
    known = Math.max(known, next - 1);
  }

  /** Returns the offset of the newest snapshot record seen, or 0. */
  public long newestSnapshotOffset() {
    return newestSnapshot.offset();
  }

  /** Returns when that record was appended, in milliseconds since 1970 by the platform's clock. */
  public long newestSnapshotMillis() {
    return newestSnapshot.timeMillis();
  }

  /**
   * Takes a read's answer. An answer from beyond {@link #readFrom}, which a peer's snapshot has
   * overtaken in the meantime, is ignored.
   *
   * @return whether it brought anything
   */
  public boolean onLog(LogRead read) {
    long before = readFrom();
    noteKnown(read.next());
    if (read.from() > before) {
      return false;
    }
    if (read.first() > readFrom()) {
      scanned = read.first() - 1;
    }
    if (hasGap()) {
      scan(read);
    } else {
      read.items().forEach(this::apply);
    }
    return readFrom() != before;
  }

  /**
   * Takes what a peer knows.
   *
   * @return whether it was of use
   */
  public boolean onPeer(PeerUpdate update) {
    long before = fold.appliedOffset();
    noteKnown(update.next());
    if (update.snapshot().isPresent()) {
      return install(update.snapshot().get());
    }
    if (!rules.joins(update, before)) {
      return false;
    }
    update.items().forEach(this::apply);
    fold.advance(update.next() - 1);
    return fold.appliedOffset() > before;
  }

  /** Returns what a peer lacks that has applied everything before an offset. */
  public PeerUpdate updateFor(long peerNext) {
    boolean reaches = !recent.isEmpty() && recent.peekFirst().offset() <= peerNext && peerNext > 1;
    if (!reaches) {
      return new PeerUpdate(nextOffset(), nextOffset(), List.of(), Optional.of(snapshot()));
    }
    List<LogItem> items = recent.stream().filter(i -> i.offset() >= peerNext).toList();
    return new PeerUpdate(peerNext, nextOffset(), items, Optional.empty());
  }

  /** Returns the present state. */
  public ProfileSnapshot snapshot() {
    return new ProfileSnapshot(
        fold.appliedOffset(),
        new ArrayList<>(fold.entries().values()),
        new ArrayList<>(foreign.values()));
  }

  /** Installs a snapshot if it is newer than the present state and continues it. */
  public boolean install(ProfileSnapshot snapshot) {
    if (!snapshot.isWellFormed() || !rules.replaces(snapshot, snapshot())) {
      return false;
    }
    fold.install(snapshot);
    recent.clear();
    recentChars = 0;
    scanned = Math.min(scanned, snapshot.through());
    listener.onInstalled(snapshot);
    snapshot.foreign().forEach(this::keepForeign);
    return true;
  }

  /** Looks for a snapshot from which on the log is whole; the records after it are read again. */
  private void scan(LogRead read) {
    for (LogItem item : read.items()) {
      scanned = Math.max(scanned, item.offset());
      if (item.body() instanceof ProfileSnapshot snapshot
          && snapshot.through() >= read.first() - 1
          && snapshot.through() < item.offset()
          && install(snapshot)) {
        scanned = 0;
        return;
      }
    }
  }

  private void apply(LogItem item) {
    if (!rules.isNew(item.offset(), fold.appliedOffset())) {
      return;
    }
    if (item.body() instanceof ProfileChange change) {
      listener.onChange(item.offset(), change, fold.apply(item.offset(), change));
    } else if (item.body() instanceof ForeignRecord) {
      keepForeign(item);
    } else if (item.body() instanceof UnreadableRecord unreadable) {
      listener.onSkipped(item.offset(), unreadable.reason());
    } else {
      newestSnapshot = item;
    }
    fold.advance(item.offset());
    remember(item);
  }

  private void keepForeign(LogItem item) {
    ForeignRecord record = (ForeignRecord) item.body();
    LogItem held = foreign.get(record.key());
    boolean inForce =
        held == null
            || (held.offset() < item.offset() && record.replaces((ForeignRecord) held.body()));
    if (inForce) {
      foreign.put(record.key(), item);
      listener.onForeign(item, record);
    }
  }

  private void remember(LogItem item) {
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
    return item.body() instanceof ForeignRecord f ? f.data().remaining() : 0;
  }
}
