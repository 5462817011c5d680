package org.carobhoist.core.store;

/** Takes the records of a shard in their order. */
public interface TailListener {

  /**
   * Takes the newest record of every key. What the listener knows of other keys is gone from the
   * shard.
   */
  void onSnapshot(Snapshot snapshot);

  /** Takes the next record. */
  void onRecord(StoredRecord stored);

  /** All newest records were read, or reading them was given up. */
  default void onWalk(ShardWalk walk) {}

  /** The shard can't be read any more; what is known grows old. */
  default void onLost(Throwable cause) {}

  /** The shard can be read again. */
  default void onRegained() {}
}
