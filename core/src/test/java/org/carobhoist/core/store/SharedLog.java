package org.carobhoist.core.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** In-memory content of a store: shards of records that retain the newest record of each key. */
public final class SharedLog {

  private final Map<Shard, Content> shards = new HashMap<>();
  private final List<Runnable> appendTasks = new ArrayList<>();

  private static final class Content {
    private final List<StoredRecord> records = new ArrayList<>();
    private long firstOffset;
  }

  /** Appends if the shard ends at the expected offset, if one is given. */
  public AppendOutcome append(Shard shard, List<KeyedRecord> records, OptionalLong at) {
    Content content = content(shard);
    long end = content.records.size();
    if (at.isPresent() && at.getAsLong() != end) {
      return new AppendOutcome.Conflict(end);
    }
    for (KeyedRecord r : records) {
      content.records.add(new StoredRecord(content.records.size(), r.key(), r.value()));
    }
    List<Runnable> tasks = List.copyOf(appendTasks);
    appendTasks.clear();
    tasks.forEach(Runnable::run);
    return new AppendOutcome.Appended(end);
  }

  /** Reads all records from an offset on. */
  public ReadOutcome read(Shard shard, long from) {
    Content content = content(shard);
    if (from < content.firstOffset) {
      return new ReadOutcome.Expired();
    }
    int size = content.records.size();
    List<StoredRecord> found = content.records.subList((int) Math.min(from, size), size);
    return new ReadOutcome.Batch(size, List.copyOf(found));
  }

  /** Reads records from an offset on, up to a size in bytes, but at least one if there is one. */
  public ReadOutcome readUpTo(Shard shard, long from, int maxBytes) {
    if (!(read(shard, from) instanceof ReadOutcome.Batch all)) {
      return new ReadOutcome.Expired();
    }
    List<StoredRecord> found = new ArrayList<>();
    int bytes = 0;
    for (StoredRecord r : all.records()) {
      bytes += r.size();
      if (!found.isEmpty() && bytes > maxBytes) {
        break;
      }
      found.add(r);
    }
    return new ReadOutcome.Batch(all.end(), List.copyOf(found));
  }

  /** Reads a page of the newest record of each key. */
  public NewestPage newest(Shard shard, String after, int pageSize) {
    TreeMap<String, StoredRecord> newest = new TreeMap<>();
    for (StoredRecord r : content(shard).records) {
      if (r.isTombstone()) {
        newest.remove(r.key());
      } else {
        newest.put(r.key(), r);
      }
    }
    List<StoredRecord> rest = new ArrayList<>(newest.tailMap(after, false).values());
    boolean more = rest.size() > pageSize;
    return new NewestPage(
        List.copyOf(rest.subList(0, Math.min(pageSize, rest.size()))),
        more,
        content(shard).records.size());
  }

  /** Expires all records of a shard; only the newest of each key can still be read, by scans. */
  public void expire(Shard shard) {
    content(shard).firstOffset = content(shard).records.size();
  }

  /** Runs a task after the next append. */
  void afterNextAppend(Runnable task) {
    appendTasks.add(task);
  }

  /** Returns all records of a shard, including expired ones, for checks in tests. */
  public List<StoredRecord> records(Shard shard) {
    return List.copyOf(content(shard).records);
  }

  private Content content(Shard shard) {
    return shards.computeIfAbsent(shard, s -> new Content());
  }
}
