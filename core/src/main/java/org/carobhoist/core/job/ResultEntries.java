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
 * What pages say of items, in shards that nobody follows. Every process follows the list, which
 * names the place of each entry; the entries, which are almost all of the bytes, are read only by a
 * process that is asked for them. So the bytes read don't grow with the number of processes, and a
 * process that starts reads only the list.
 *
 * <p>An entry is appended before the list names it, under a key that no other entry has, so it
 * never changes. It is read by its offset; once the store has dropped old records, by its key.
 */
public final class ResultEntries {

  /** Entries up to this size stand in the list itself. */
  private static final int INLINE_BYTES = 512;

  /** Bytes that one append carries at most; half of what the store takes. */
  private static final int MAX_BYTES = 1 << 20;

  /** Time that entries wait for others, so that an append carries several. */
  private static final Duration LINGER = Duration.ofMillis(10);

  private static final Duration FIRST_PAUSE = Duration.ofMillis(20);
  private static final Duration LONGEST_PAUSE = Duration.ofMillis(200);

  /** Bytes of entries kept for readers that come again; some steps' worth of one reader. */
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
   * Returns the entries as one process writes and reads them.
   *
   * @param shards where entries lie, each job's in one shard
   * @param onRead is told of each reading from the store
   * @param writer a name that no other run of a process has; 1 to 36 characters
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
   * Stores the entry of a result, however long that takes. Returns the result with the entry's
   * place, or as it is if the entry is small, or no longer wanted before it was stored.
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

  /** Returns results with their entries; fails if one can't be read now. */
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

  /** Drops the entries of a job that is forgotten. */
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

  /** Returns the bytes kept for readers, for the state dump. */
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

  /** An append without answer is made again under the same keys, so that it doubles nothing. */
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

  /** Entries of one shard that are being read. */
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

    /** Returns the bytes of what is missing, as if nothing else lay between. */
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

  /** Reads on from the first entry that is missing, as long as offsets still lead to entries. */
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

  /** Looks for entries by their keys; what lies between them is left out page by page. */
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

  /** Returns a key that stands before another, with hardly any between them. */
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
