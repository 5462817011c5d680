package org.carobhoist.core.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.JitteredBackoff;
import org.carobhoist.core.common.Scheduler;
import org.carobhoist.core.store.AppendOutcome;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.NewestPage;
import org.carobhoist.core.store.ReadOutcome;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.Shard;
import org.carobhoist.core.store.StoreException;
import org.carobhoist.core.store.StoredRecord;

/**
 * Stores and reads the entries of items, that is, the bytes that a page of results contains for
 * them. Every process follows the job records, in which a result names the place of its entry. The
 * entries make up almost all of the bytes; they are in shards of their own, which no process
 * follows, and are read only by a process that serves a request for them. So the number of bytes
 * read doesn't grow with the number of processes, and a starting process reads only the job
 * records.
 *
 * <p>An entry is appended before the result that names it, under a unique key, so it never changes.
 * It is read by its offset, or by its key after the store has dropped old records.
 */
public final class ResultEntries {

  /** Entries up to this size are stored in the result's own record. */
  private static final int INLINE_BYTES = 512;

  /** Maximum size of one append; half of what the store accepts. */
  private static final int MAX_BYTES = 1 << 20;

  /** Time for which entries are collected, so that one append carries several. */
  private static final Duration LINGER = Duration.ofMillis(10);

  private static final Duration FIRST_PAUSE = Duration.ofMillis(20);
  private static final Duration LONGEST_PAUSE = Duration.ofMillis(200);

  /** Size of the cache for repeated reads; enough for several training steps of one reader. */
  private static final int CACHE_BYTES = 4 << 20;

  private final RecordStore store;
  private final List<Shard> shards;
  private final Scheduler scheduler;
  private final Clock clock;
  private final Consumer<EntryRead> onRead;
  private final String writer;
  private final JitteredBackoff backoff;
  private final Map<Shard, List<Pending>> waiting = new HashMap<>();
  private final Map<String, byte[]> cache = new LinkedHashMap<>(64, 0.75f, true);
  private int cached;
  private long written;

  private record Pending(KeyedRecord entry, BooleanSupplier wanted, CompletableFuture<Long> done) {}

  private ResultEntries(
      RecordStore store,
      List<Shard> shards,
      Scheduler scheduler,
      Clock clock,
      Consumer<EntryRead> onRead,
      String writer) {
    this.store = store;
    this.shards = List.copyOf(shards);
    this.scheduler = scheduler;
    this.clock = clock;
    this.onRead = onRead;
    this.writer = writer;
    this.backoff =
        JitteredBackoff.create(FIRST_PAUSE, LONGEST_PAUSE, new SplittableRandom(writer.hashCode()));
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
      Consumer<EntryRead> onRead,
      String writer) {
    return new ResultEntries(store, shards, scheduler, clock, onRead, writer);
  }

  /**
   * Stores the entry of a result; retries until it succeeds or the entry is no longer wanted.
   * Returns the result with the entry's place. Returns the result unchanged if the entry is small
   * or wasn't stored because it was no longer wanted.
   */
  public CompletableFuture<ItemResult> write(JobId job, ItemResult result, BooleanSupplier wanted) {
    byte[] bytes = result.pageEntry();
    if (bytes.length <= INLINE_BYTES) {
      return CompletableFuture.completedFuture(result);
    }
    Shard shard = shardOf(job);
    String key = "text/" + job + "/" + result.item() + "/" + writer + "-" + written++;
    Pending pending = new Pending(new KeyedRecord(key, bytes), wanted, new CompletableFuture<>());
    List<Pending> batch = waiting.get(shard);
    if (batch == null) {
      waiting.put(shard, new ArrayList<>(List.of(pending)));
      scheduler.after(LINGER, () -> flush(shard));
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
              keep(key, bytes);
              return result.at(new EntryPlace(key, shard.part(), offset, bytes.length));
            });
  }

  /** Returns the results with their entries; fails if an entry can't be read at the moment. */
  public CompletableFuture<List<ItemResult>> load(List<ItemResult> results) {
    Map<String, byte[]> found = new HashMap<>();
    Map<Integer, Map<String, EntryPlace>> missing = new HashMap<>();
    for (ItemResult r : results) {
      r.place()
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
    for (Map.Entry<Integer, Map<String, EntryPlace>> m : missing.entrySet()) {
      all = all.thenCompose(ok -> read(new Reading(shards.get(m.getKey()), m.getValue(), found)));
    }
    return all.thenApply(
        ok ->
            results.stream()
                .map(r -> r.place().isEmpty() ? r : r.with(found.get(r.place().get().key())))
                .toList());
  }

  /** Deletes the entries of a job from the store. */
  public CompletableFuture<AppendOutcome> forget(Job job) {
    List<KeyedRecord> drops =
        job.resultsFrom(0).stream()
            .flatMap(r -> r.place().stream())
            .map(p -> KeyedRecord.drop(p.key()))
            .toList();
    return drops.isEmpty()
        ? CompletableFuture.completedFuture(new AppendOutcome.Appended(0))
        : store.append(shardOf(job.id()), drops, OptionalLong.empty());
  }

  /** Returns the number of cached bytes, for the state dump. */
  public int cachedBytes() {
    return cached;
  }

  private Shard shardOf(JobId job) {
    return shards.get(Math.floorMod(job.value().hashCode(), shards.size()));
  }

  private void flush(Shard shard) {
    List<Pending> all = waiting.get(shard);
    all.stream().filter(p -> !p.wanted().getAsBoolean()).forEach(p -> p.done().complete(-1L));
    all.removeIf(p -> p.done().isDone());
    if (all.isEmpty()) {
      waiting.remove(shard);
      return;
    }
    List<Pending> batch = batch(all);
    store
        .append(shard, batch.stream().map(Pending::entry).toList(), OptionalLong.empty())
        .whenComplete((outcome, failure) -> afterAppend(shard, batch, outcome, failure));
  }

  private static List<Pending> batch(List<Pending> all) {
    List<Pending> batch = new ArrayList<>();
    int bytes = 0;
    for (Pending p : all) {
      bytes += p.entry().size();
      if (!batch.isEmpty() && bytes > MAX_BYTES) {
        break;
      }
      batch.add(p);
    }
    return batch;
  }

  /**
   * Retries a failed append, which may have been stored. It uses the same keys, so no entry is
   * stored twice.
   */
  private void afterAppend(
      Shard shard, List<Pending> batch, AppendOutcome outcome, Throwable failure) {
    if (failure != null || !(outcome instanceof AppendOutcome.Appended appended)) {
      scheduler.after(backoff.next(), () -> flush(shard));
      return;
    }
    backoff.reset();
    waiting.get(shard).removeAll(batch);
    for (int i = 0; i < batch.size(); i++) {
      batch.get(i).done().complete(appended.offset() + i);
    }
    flush(shard);
  }

  /** State of one read of entries from one shard. */
  private final class Reading {

    private final Shard shard;
    private final Map<String, EntryPlace> missing;
    private final Map<String, byte[]> found;
    private final int wanted;
    private final Duration since = clock.elapsed();
    private int reads;
    private int pages;
    private long bytes;

    private Reading(Shard shard, Map<String, EntryPlace> missing, Map<String, byte[]> found) {
      this.shard = shard;
      this.missing = missing;
      this.found = found;
      this.wanted = missing.size();
    }

    private long firstOffset() {
      return missing.values().stream().mapToLong(EntryPlace::offset).min().orElseThrow();
    }

    private String firstKey() {
      return missing.keySet().stream().min(Comparator.naturalOrder()).orElseThrow();
    }

    /** Returns the size of the missing entries, without that of the records between them. */
    private int bytesLeft() {
      return missing.values().stream().mapToInt(p -> p.key().length() + p.length()).sum();
    }

    private void absorb(List<StoredRecord> records) {
      for (StoredRecord r : records) {
        bytes += r.size();
        if (!r.isDrop() && missing.remove(r.key()) != null) {
          found.put(r.key(), r.value());
          keep(r.key(), r.value());
        }
      }
    }

    private EntryRead report(Throwable failure) {
      Duration took = clock.elapsed().minus(since);
      return new EntryRead(shard, wanted, reads, pages, bytes, took, Optional.ofNullable(failure));
    }
  }

  private CompletableFuture<Void> read(Reading reading) {
    return readOn(reading).whenComplete((ok, failure) -> onRead.accept(reading.report(failure)));
  }

  /**
   * Reads by offset, from the first missing entry on. Continues by key if a read returns no records
   * or passes the first missing entry without finding it, since the store has dropped it there.
   */
  private CompletableFuture<Void> readOn(Reading reading) {
    reading.reads++;
    return store
        .readUpTo(reading.shard, reading.firstOffset(), reading.bytesLeft())
        .thenCompose(
            outcome -> {
              if (!(outcome instanceof ReadOutcome.Batch batch)) {
                return walk(before(reading.firstKey()), reading);
              }
              reading.absorb(batch.records());
              if (reading.missing.isEmpty()) {
                return CompletableFuture.completedFuture(null);
              }
              boolean passed = batch.records().isEmpty() || reading.firstOffset() <= lastOf(batch);
              return passed ? walk(before(reading.firstKey()), reading) : readOn(reading);
            });
  }

  /**
   * Reads pages of the newest records in the order of their keys. Each page starts just before the
   * first missing entry, which skips the records between entries.
   */
  private CompletableFuture<Void> walk(String after, Reading reading) {
    reading.pages++;
    return store
        .newest(reading.shard, after)
        .thenCompose(
            page -> {
              reading.absorb(page.records());
              if (reading.missing.isEmpty()) {
                return CompletableFuture.completedFuture(null);
              }
              String first = reading.firstKey();
              if (!page.more() || first.compareTo(lastKeyOf(page)) <= 0) {
                return CompletableFuture.failedFuture(
                    StoreException.notRun(first + " is not in " + reading.shard));
              }
              return walk(later(before(first), lastKeyOf(page)), reading);
            });
  }

  private static String later(String a, String b) {
    return a.compareTo(b) > 0 ? a : b;
  }

  /** Returns a key that sorts shortly before the given one. */
  private static String before(String key) {
    return key.substring(0, key.length() - 1);
  }

  private static String lastKeyOf(NewestPage page) {
    return page.records().get(page.records().size() - 1).key();
  }

  private static long lastOf(ReadOutcome.Batch batch) {
    return batch.records().get(batch.records().size() - 1).offset();
  }

  private void keep(String key, byte[] entry) {
    byte[] before = cache.put(key, entry);
    cached += entry.length - (before == null ? 0 : before.length);
    while (cached > CACHE_BYTES) {
      String eldest = cache.keySet().iterator().next();
      cached -= cache.remove(eldest).length;
    }
  }
}
