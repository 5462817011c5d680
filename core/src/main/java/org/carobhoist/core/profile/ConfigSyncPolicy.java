package org.carobhoist.core.profile;

import java.time.Duration;

/**
 * Parameters of the distribution of the configuration.
 *
 * @param pollWait maximum wait of a long poll on the log; must be well below the lease of home
 *     views, which each read renews
 * @param retryBase maximum delay after the first failed read
 * @param retryCap maximum delay after repeated failed reads
 * @param gossipPeriod maximum interval between digests sent to random peers
 * @param snapshotCollectionTime how long a starting process continues to collect peers' snapshots
 *     after the first one
 * @param maxSnapshotAge maximum age of the newest snapshot record in the log; must be well below
 *     the log's retention
 * @param maxRecordsAfterSnapshot maximum number of records after the newest snapshot record
 * @param maxSnapshotDelay maximum random delay before a snapshot is appended
 * @param appendsSnapshots whether this process appends snapshots at all
 */
public record ConfigSyncPolicy(
    Duration pollWait,
    Duration retryBase,
    Duration retryCap,
    Duration gossipPeriod,
    Duration snapshotCollectionTime,
    Duration maxSnapshotAge,
    long maxRecordsAfterSnapshot,
    Duration maxSnapshotDelay,
    boolean appendsSnapshots) {

  /** Returns the policy of an entry, which appends snapshots to the log. */
  public static ConfigSyncPolicy ofEntry() {
    return defaults(true);
  }

  /** Returns the policy of a sidecar, which doesn't append snapshots to the log. */
  public static ConfigSyncPolicy ofSidecar() {
    return defaults(false);
  }

  private static ConfigSyncPolicy defaults(boolean appends) {
    return new ConfigSyncPolicy(
        Duration.ofSeconds(5),
        Duration.ofMillis(500),
        Duration.ofSeconds(4),
        Duration.ofSeconds(2),
        Duration.ofSeconds(2),
        Duration.ofMinutes(10),
        200,
        Duration.ofSeconds(30),
        appends);
  }
}
