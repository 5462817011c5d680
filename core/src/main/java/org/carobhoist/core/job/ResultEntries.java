package org.carobhoist.core.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.JitteredBackoff;
import org.carobhoist.core.common.Scheduler;
import org.carobhoist.core.store.AppendOutcome;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.ReadOutcome;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.Shard;
import org.carobhoist.core.store.StoreException;
import org.carobhoist.core.store.StoredRecord;

/**
 * Stores and reads the entries of items, that is, the bytes that a page of results contains for
 * them. Every process reads all job records, in which a result names its entry's location. The
 * entries make up almost all of the bytes; they are in shards of their own, and a process reads
 * only those for which it serves a request. So the number of bytes read doesn't grow with the
 * number of processes, and a starting process reads only the job records.
 *
 * <p>An entry is appended before the result that names it, under a unique key, so it never changes.
 * It is read by its offset, or by its key after the store has dropped old records.
 */
public final class ResultEntries {

  /** Entries up to this size are stored in the result's own record. */
  private static final int INLINE_BYTES = 512;

  /** Maximum size of one append; half of what the store accepts. */
  private static final int MAX_APPEND_BYTES = 1 << 20;

  /** Time for which entries are collected, so that one append carries several. */
  private static final Duration BATCH_DELAY = Duration.ofMillis(10);

  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(20);
  private static final Duration MAX_BACKOFF = Duration.ofMillis(200);

  /** Size of the cache for repeated reads; enough for several training steps of one reader. */
  private static final int MAX_CACHE_BYTES = 4 << 20;

  private final RecordStore store;
  private final List<Shard> shards;
  private final Scheduler scheduler;
  private final Clock clock;
  private final Consumer<EntryReadStatistics> onRead;
  private final String writer;
  private final JitteredBackoff backoff;
  private final Map<Shard, List<PendingEntry>> pendingByShard = new HashMap<>();
  private final Set<Shard> failingShards = new HashSet<>();
  private final Map<String, byte[]> cache = new LinkedHashMap<>(64, 0.75f, true);
  private int cacheBytes;
  private long entryCount;

  private record PendingEntry(
      KeyedRecord entry, BooleanSupplier wanted, CompletableFuture<Long> done) {}

  private ResultEntries(
      RecordStore store,
      List<Shard> shards,
      Scheduler scheduler,
      Clock clock,
      Consumer<EntryReadStatistics> onRead,
      String writer) {
    this.store = store;
    this.shards = List.copyOf(shards);
    this.scheduler = scheduler;
    this.clock = clock;
    this.onRead = onRead;
    this.writer = writer;
    this.backoff =
        JitteredBackoff.create(
            INITIAL_BACKOFF, MAX_BACKOFF, new SplittableRandom(writer.hashCode()));
  }

  /**
   * Returns an instance through which one process writes and reads entries.
   *
   * @param shards the shards for entries; the entries of a job are all in one shard
   * @param onRead called after each read from the store
   * @param writer a name unique to this run of the process; 1 to 36 characters
   */
  public static ResultEntries create(
      RecordStore store,
      List<Shard> shards,
      Scheduler scheduler,
      Clock clock,
      Consumer<EntryReadStatistics> onRead,
      String writer) {
    return new ResultEntries(store, shards, scheduler, clock, onRead, writer);
  }

  /**
   * Stores the entry of a result; retries until it succeeds or the entry is no longer wanted.
   * Returns the result with the entry's location. Returns the result unchanged if the entry is
   * small or wasn't stored because it was no longer wanted.
   */
  public CompletableFuture<ItemResult> write(JobId job, ItemResult result, BooleanSupplier wanted) {
    byte[] bytes = result.pageEntry();
    if (bytes.length <= INLINE_BYTES) {
      return CompletableFuture.completedFuture(result);
    }
    Shard shard = shardOf(job);
    String key = "text/" + job + "/" + result.item() + "/" + writer + "-" + entryCount++;
    PendingEntry pending =
        new PendingEntry(new KeyedRecord(key, bytes), wanted, new CompletableFuture<>());
    List<PendingEntry> batch = pendingByShard.get(shard);
    if (batch == null) {
      pendingByShard.put(shard, new ArrayList<>(List.of(pending)));
      scheduler.after(BATCH_DELAY, () -> flush(shard));
    } else {
      batch.add(pending);
    }
    return pending
        .done()
        .thenApply(
            offset -> {
              if (offset < 0) {
                return result;
              }
              addToCache(key, bytes);
              return result.withLocation(
                  new EntryLocation(key, shard.part(), offset, bytes.length));
            });
  }

  /** Returns the results with their entries; fails if an entry can't be read at the moment. */
  public CompletableFuture<List<ItemResult>> load(List<ItemResult> results) {
    Map<String, byte[]> found = new HashMap<>();
    Map<Integer, Map<String, EntryLocation>> missing = new HashMap<>();
    for (ItemResult r : results) {
      r.location()
          .ifPresent(
              place -> {
                byte[] known = cache.get(place.key());
                if (known != null) {
                  found.put(place.key(), known);
                } else {
                  missing
                      .computeIfAbsent(place.part(), part -> new HashMap<>())
                      .put(place.key(), place);
                }
              });
    }
    CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
    for (Map.Entry<Integer, Map<String, EntryLocation>> m : missing.entrySet()) {
      all = all.thenCompose(ok -> read(new ReadState(shards.get(m.getKey()), m.getValue(), found)));
    }
    return all.thenApply(
        ok ->
            results.stream()
                .map(
                    r ->
                        r.location().isEmpty()
                            ? r
                            : r.withBytes(found.get(r.location().get().key())))
                .toList());
  }

  /** Deletes the entries of a job from the store. */
  public CompletableFuture<AppendOutcome> delete(Job job) {
    List<KeyedRecord> drops =
        job.resultsFrom(0).stream()
            .flatMap(r -> r.location().stream())
            .map(p -> KeyedRecord.tombstone(p.key()))
            .toList();
    return drops.isEmpty()
        ? CompletableFuture.completedFuture(new AppendOutcome.Appended(0))
        : store.append(shardOf(job.id()), drops, OptionalLong.empty());
  }

  /** Returns the number of cached bytes. */
  public int cachedBytes() {
    return cacheBytes;
  }

  private Shard shardOf(JobId job) {
    return shards.get(Math.floorMod(job.value().hashCode(), shards.size()));
  }

  /** Appends what is pending; starts again after an exception, since nothing else would. */
  private void flush(Shard shard) {
    if (!Callbacks.runReported(() -> appendPending(shard))) {
      scheduler.after(backoff.nextDelay(), () -> flush(shard));
    }
  }

  private void appendPending(Shard shard) {
    List<PendingEntry> all = pendingByShard.get(shard);
    all.stream().filter(p -> !p.wanted().getAsBoolean()).forEach(p -> p.done().complete(-1L));
    all.removeIf(p -> p.done().isDone());
    if (all.isEmpty()) {
      pendingByShard.remove(shard);
      return;
    }
    List<PendingEntry> batch = failingShards.contains(shard) ? List.of(all.get(0)) : batch(all);
    List<KeyedRecord> records = batch.stream().map(PendingEntry::entry).toList();
    Callbacks.start(() -> store.append(shard, records, OptionalLong.empty()))
        .whenComplete(
            Callbacks.reported((outcome, failure) -> afterAppend(shard, batch, outcome, failure)));
  }

  private static List<PendingEntry> batch(List<PendingEntry> all) {
    List<PendingEntry> batch = new ArrayList<>();
    int bytes = 0;
    for (PendingEntry p : all) {
      bytes += p.entry().size();
      if (!batch.isEmpty() && bytes > MAX_APPEND_BYTES) {
        break;
      }
      batch.add(p);
    }
    return batch;
  }

  /**
   * Completes the stored entries, or retries a failed append. The failed one may have been stored;
   * the retry uses the same keys, so no entry is duplicated. The store may refuse a single entry
   * for good, such as one that is too large. After a failure entries are therefore appended one by
   * one, and the failed ones last.
   */
  private void afterAppend(
      Shard shard, List<PendingEntry> batch, AppendOutcome outcome, Throwable failure) {
    if (failure != null || !(outcome instanceof AppendOutcome.Appended appended)) {
      failingShards.add(shard);
      pendingByShard.get(shard).removeAll(batch);
      pendingByShard.get(shard).addAll(batch);
      scheduler.after(backoff.nextDelay(), () -> flush(shard));
      return;
    }
    backoff.reset();
    failingShards.remove(shard);
    pendingByShard.get(shard).removeAll(batch);
    for (int i = 0; i < batch.size(); i++) {
      batch.get(i).done().complete(appended.offset() + i);
    }
    flush(shard);
  }

  /** State of one read of entries from one shard. */
  private final class ReadState {

    private final Shard shard;
    private final Map<String, EntryLocation> missing;
    private final Map<String, byte[]> found;
    private final int wanted;
    private final Duration startedAt = clock.elapsed();
    private int reads;
    private int pages;
    private long bytes;

    private ReadState(Shard shard, Map<String, EntryLocation> missing, Map<String, byte[]> found) {
      this.shard = shard;
      this.missing = missing;
      this.found = found;
      this.wanted = missing.size();
    }

    private long firstMissingOffset() {
      return missing.values().stream().mapToLong(EntryLocation::offset).min().orElseThrow();
    }

    private String firstMissingKey() {
      return missing.keySet().stream().min(Comparator.naturalOrder()).orElseThrow();
    }

    /** Returns the size of the missing entries, without that of the records between them. */
    private int missingBytes() {
      return missing.values().stream().mapToInt(p -> p.key().length() + p.length()).sum();
    }

    private void addFound(List<StoredRecord> records) {
      for (StoredRecord r : records) {
        bytes += r.size();
        if (!r.isTombstone() && missing.remove(r.key()) != null) {
          found.put(r.key(), r.value());
          addToCache(r.key(), r.value());
        }
      }
    }

    private EntryReadStatistics statistics(Throwable failure) {
      Duration took = clock.elapsed().minus(startedAt);
      return new EntryReadStatistics(
          shard, wanted, reads, pages, bytes, took, Optional.ofNullable(failure));
    }
  }

  private CompletableFuture<Void> read(ReadState state) {
    return readByOffset(state)
        .whenComplete((ok, failure) -> onRead.accept(state.statistics(failure)));
  }

  /**
   * Reads by offset, from the first missing entry on. Continues by key if a read returns no records
   * or passes the first missing entry without finding it, since the store has dropped it there.
   */
  private CompletableFuture<Void> readByOffset(ReadState state) {
    state.reads++;
    return store
        .readUpTo(state.shard, state.firstMissingOffset(), state.missingBytes())
        .thenCompose(
            outcome -> {
              if (!(outcome instanceof ReadOutcome.Batch batch)) {
                return readByKey(keyBefore(state.firstMissingKey()), state);
              }
              state.addFound(batch.records());
              if (state.missing.isEmpty()) {
                return CompletableFuture.completedFuture(null);
              }
              boolean dropped =
                  batch.records().isEmpty() || state.firstMissingOffset() <= lastOffsetOf(batch);
              return dropped
                  ? readByKey(keyBefore(state.firstMissingKey()), state)
                  : readByOffset(state);
            });
  }

  /**
   * Reads pages of the newest records in the order of their keys. Each page starts just before the
   * first missing entry, which skips the records between entries.
   */
  private CompletableFuture<Void> readByKey(String after, ReadState state) {
    state.pages++;
    return store
        .newest(state.shard, after)
        .thenCompose(
            page -> {
              state.addFound(page.records());
              if (state.missing.isEmpty()) {
                return CompletableFuture.completedFuture(null);
              }
              String first = state.firstMissingKey();
              if (!page.more() || first.compareTo(page.lastKey()) <= 0) {
                return CompletableFuture.failedFuture(
                    StoreException.notRun(first + " is not in " + state.shard));
              }
              return readByKey(maxKey(keyBefore(first), page.lastKey()), state);
            });
  }

  private static String maxKey(String a, String b) {
    return a.compareTo(b) > 0 ? a : b;
  }

  /** Returns a key that sorts shortly before the given one. */
  private static String keyBefore(String key) {
    return key.substring(0, key.length() - 1);
  }

  private static long lastOffsetOf(ReadOutcome.Batch batch) {
    return batch.records().get(batch.records().size() - 1).offset();
  }

  private void addToCache(String key, byte[] entry) {
    byte[] replaced = cache.put(key, entry);
    cacheBytes += entry.length - (replaced == null ? 0 : replaced.length);
    while (cacheBytes > MAX_CACHE_BYTES) {
      String eldest = cache.keySet().iterator().next();
      cacheBytes -= cache.remove(eldest).length;
    }
  }
}
