package org.carobhoist.core.store;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The newest records of a shard as far as its pages agree. Pages are read one after the other, so a
 * key may have got a newer record meanwhile; what it held before can't be read any more.
 *
 * @param records records before the end that the first page told, in the order of their offsets
 * @param later newer ones, which come again in their order; their keys may have been there before
 */
public record Snapshot(List<StoredRecord> records, List<StoredRecord> later) {

  /**
   * Returns what pages have shown.
   *
   * @param end the end that the first page told
   */
  static Snapshot of(List<StoredRecord> newest, long end) {
    return new Snapshot(
        inOrder(newest.stream().filter(r -> r.offset() < end)),
        inOrder(newest.stream().filter(r -> r.offset() >= end)));
  }

  /** Returns a snapshot of a shard that nobody wrote to while it was read. */
  public static Snapshot of(List<StoredRecord> records) {
    return new Snapshot(records, List.of());
  }

  /** Returns all keys that the shard may hold. */
  public Set<String> keys() {
    return Stream.concat(records.stream(), later.stream())
        .map(StoredRecord::key)
        .collect(Collectors.toSet());
  }

  private static List<StoredRecord> inOrder(Stream<StoredRecord> records) {
    return records
        .filter(r -> !r.isDrop())
        .sorted(Comparator.comparingLong(StoredRecord::offset))
        .toList();
  }
}
