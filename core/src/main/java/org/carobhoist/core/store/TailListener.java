package org.carobhoist.core.store;

/** Listener for the records of a shard, which are delivered in order of their offsets. */
public interface TailListener {

  /**
   * Called after a scan with the newest record of every key. Keys that aren't in the snapshot no
   * longer exist in the shard. Handles the records with {@link Snapshot#forEach}, so that one that
   * can't be handled doesn't make the scan fail.
   */
  void onSnapshot(Snapshot snapshot);

  /** Called for each record after the snapshot, once and in order. */
  void onRecord(StoredRecord stored);

  /**
   * Called for a record for which {@link #onRecord}, or the handler of a snapshot's records, has
   * thrown an exception. The record is skipped.
   */
  default void onRecordFailed(StoredRecord stored, RuntimeException cause) {}

  /** Called when a scan over the newest records has completed or failed. */
  default void onScanFinished(ShardScan walk) {}

  /** Called when reads of the shard start to fail; from now on the known state becomes stale. */
  default void onReadFailed(Throwable cause) {}

  /** Called when a read succeeds again after {@link #onReadFailed}. */
  default void onReadRecovered() {}
}
