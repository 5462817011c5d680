package org.carobhoist.core.profile;

import java.time.Duration;

/**
 * Tunables of the configuration's spread.
 *
 * @param pollWait longest wait of a long poll on the log; well below the lease of home views, which
 *     each read renews
 * @param retryBase longest delay after the first failed read
 * @param retryCap longest delay after many failed reads
 * @param gossipPeriod time between digests to a random peer
 * @param settleTime time for which a starting process goes on collecting peers' snapshots after the
 *     first one
 * @param snapshotPeriod greatest age of the log's newest snapshot record; must be well below the
 *     log's retention
 * @param snapshotRecords most records after the newest snapshot record
 * @param snapshotSpread longest random delay before a snapshot is appended
 * @param appendsSnapshots whether this process appends snapshots at all
 */
public record SpreadPolicy(
    Duration pollWait,
    Duration retryBase,
    Duration retryCap,
    Duration gossipPeriod,
    Duration settleTime,
    Duration snapshotPeriod,
    long snapshotRecords,
    Duration snapshotSpread,
    boolean appendsSnapshots) {

  /** Returns the policy of an entry, which appends snapshots. */
  public static SpreadPolicy ofEntry() {
    return defaults(true);
  }

  /** Returns the policy of a sidecar, which doesn't. */
  public static SpreadPolicy ofSidecar() {
    return defaults(false);
  }

  private static SpreadPolicy defaults(boolean appends) {
    return new SpreadPolicy(
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
