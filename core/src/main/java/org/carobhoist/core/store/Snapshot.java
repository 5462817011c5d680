package org.carobhoist.core.store;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The newest record of each key of a shard, as found by a scan. Pages are read one after the other,
 * so a key may get a newer record during the scan, and its previous record can no longer be read.
 *
 * @param records records before the end of the shard that the first page reported, ordered by
 *     offset
 * @param newerRecords records from that end on, ordered by offset; they are delivered again by the
 *     reads that follow the scan. Their keys may have existed before the scan.
 * @param failures called for each record that {@link #forEach} skips
 */
public record Snapshot(
    List<StoredRecord> records, List<StoredRecord> newerRecords, FailureListener failures) {

  /** Receives the records that could not be handled. */
  @FunctionalInterface
  public interface FailureListener {

    /** Called for a record that is skipped because of an exception. */
    void onRecordFailed(StoredRecord stored, RuntimeException cause);
  }

  /**
   * Returns the snapshot for the records of all pages of a scan.
   *
   * @param end the end of the shard that the first page reported
   */
  static Snapshot of(List<StoredRecord> newest, long end, FailureListener failures) {
    return new Snapshot(
        sortedByOffset(newest.stream().filter(r -> r.offset() < end)),
        sortedByOffset(newest.stream().filter(r -> r.offset() >= end)),
        failures);
  }

  /** Returns a snapshot of a shard that had no appends during the scan; skips no record. */
  public static Snapshot of(List<StoredRecord> records) {
    return new Snapshot(
        records,
        List.of(),
        (stored, cause) -> {
          throw cause;
        });
  }

  /**
   * Passes each of the given records of this snapshot to a handler. A record for which the handler
   * throws is reported and skipped, so that it can't keep the others from being read.
   */
  public void forEach(List<StoredRecord> selected, Consumer<StoredRecord> handler) {
    for (StoredRecord stored : selected) {
      try {
        handler.accept(stored);
      } catch (RuntimeException e) {
        failures.onRecordFailed(stored, e);
      }
    }
  }

  /** Returns all keys found by the scan. */
  public Set<String> keys() {
    return Stream.concat(records.stream(), newerRecords.stream())
        .map(StoredRecord::key)
        .collect(Collectors.toSet());
  }

  private static List<StoredRecord> sortedByOffset(Stream<StoredRecord> records) {
    return records
        .filter(r -> !r.isTombstone())
        .sorted(Comparator.comparingLong(StoredRecord::offset))
        .toList();
  }
}
