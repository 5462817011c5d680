package org.carobhoist.core.job;

/** Receives the changes of jobs as they are read from the store. */
public interface JobListener {

  /** Called when all parts of an accepted job have been read. */
  default void onAccepted(Job job) {}

  /** Called when a result was published. */
  void onResultPublished(Job job, ItemResult result);

  /** Called when a job was ended, or was deleted without having been ended. */
  void onEnded(Job job);

  /** Called when a second result of an item was read; the first one remains valid. */
  default void onDuplicateResult(Job job, ItemResult result, long offset) {}

  /** Called when a record of the shard can't be decoded; the record is skipped. */
  default void onUnreadableRecord(String key, long offset, String why) {}
}
