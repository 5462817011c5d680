package org.carobhoist.core.store;

/** Listener for the records of a shard, which are delivered in order of their offsets. */
public interface TailListener {

  /**
   * Called after a scan with the newest record of every key. Keys that aren't in the snapshot no
   * longer exist in the shard.
   */
  void onSnapshot(Snapshot snapshot);

  /** Called for each record after the snapshot, once and in order. */
  void onRecord(StoredRecord stored);

  /** Called when a scan over the newest records has completed or failed. */
  default void onScanFinished(ShardScan walk) {}

  /** Called when reads of the shard start to fail; from now on the known state becomes stale. */
  default void onReadFailed(Throwable cause) {}

  /** Called when a read succeeds again after {@link #onReadFailed}. */
  default void onReadRecovered() {}
}
