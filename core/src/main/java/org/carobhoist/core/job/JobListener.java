package org.carobhoist.core.job;

/** Takes what happens to jobs, as the store tells it. */
public interface JobListener {

  /** A job was accepted. */
  default void onAccepted(Job job) {}

  /** A result was listed. */
  void onListed(Job job, ItemResult result);

  /** A job was ended, or forgotten without having been ended. */
  void onEnded(Job job);

  /** A second record lists an item; the first one counts. */
  default void onListedAgain(Job job, ItemResult result, long offset) {}

  /** A record of the shard can't be read. */
  default void onUnreadable(String key, long offset, String why) {}
}
