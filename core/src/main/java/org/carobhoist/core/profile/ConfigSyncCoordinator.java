package org.carobhoist.core.profile;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.JitteredBackoff;

/**
 * Keeps the configuration of one process up to date from two sources: it follows the log by long
 * polling, and it exchanges offsets with a random peer every few seconds, whereupon the peer that
 * is ahead sends the missing records. Therefore a process that is cut off only from the log still
 * receives a change, one gossip period later.
 *
 * <p>A starting process doesn't serve until it has a complete configuration. Either it has read the
 * log to its end, or the log can't be read and at least two peers have sent consistent snapshots,
 * of which one can be a successor of the other; the newest such snapshot is installed. A process
 * that is already serving continues with the configuration that it has, whatever fails.
 *
 * <p>If the policy says so, the process appends a snapshot record when the newest one in the log is
 * too old or too many records back. It waits for a random delay first and skips the snapshot if
 * another process has appended one in the meantime.
 */
public final class ConfigSyncCoordinator {

  private static final int STARTUP_FANOUT = 4;

  private final ConfigSyncPort port;
  private final ConfigSyncPolicy policy;
  private final ReplicaRules rules;
  private final Clock clock;
  private final SplittableRandom random;
  private final ConfigReplica replica;
  private final JitteredBackoff backoff;
  private final Set<InstanceId> peers = new LinkedHashSet<>();
  private final Map<InstanceId, ProfileSnapshot> peerSnapshots = new LinkedHashMap<>();
  private boolean logReachable = true;
  private boolean serving;
  private boolean collectingSnapshots;
  private boolean snapshotScheduled;

  private ConfigSyncCoordinator(
      ConfigSyncPort port,
      ConfigSyncPolicy policy,
      ReplicaRules rules,
      Clock clock,
      SplittableRandom random,
      ReplicaListener listener) {
    this.port = port;
    this.policy = policy;
    this.rules = rules;
    this.clock = clock;
    this.random = random;
    this.replica = ConfigReplica.create(rules, listener);
    this.backoff = JitteredBackoff.create(policy.retryBase(), policy.retryCap(), random);
  }

  /** Returns a coordinator that has not been started. */
  public static ConfigSyncCoordinator create(
      ConfigSyncPort port,
      ConfigSyncPolicy policy,
      Clock clock,
      SplittableRandom random,
      ReplicaListener listener) {
    return create(port, policy, ReplicaRules.STRICT, clock, random, listener);
  }

  static ConfigSyncCoordinator create(
      ConfigSyncPort port,
      ConfigSyncPolicy policy,
      ReplicaRules rules,
      Clock clock,
      SplittableRandom random,
      ReplicaListener listener) {
    return new ConfigSyncCoordinator(port, policy, rules, clock, random, listener);
  }

  /** Starts following the log and exchanging offsets with peers. */
  public void start() {
    port.readLog(replica.readFrom(), Duration.ZERO);
    port.after(gossipDelay(), this::gossip);
  }

  /** Returns the replica of the configuration. */
  public ConfigReplica replica() {
    return replica;
  }

  /** Returns whether the process has a configuration with which it may serve. */
  public boolean isServing() {
    return serving;
  }

  /** Returns whether the last read of the log succeeded. */
  public boolean isLogReachable() {
    return logReachable;
  }

  /** Called when a read of the log has succeeded. */
  public void onLogRead(LogRead read) {
    logReachable = true;
    boolean progress = replica.onLog(read);
    boolean complete = !replica.hasGap() && replica.nextOffset() >= read.next();
    if (complete && replica.isCurrent()) {
      serve(ConfigSyncPort.Source.LOG);
    }
    if (complete) {
      scheduleSnapshotIfDue(read.first());
    }
    if (progress || replica.readFrom() >= read.next()) {
      backoff.reset();
      port.readLog(replica.readFrom(), policy.pollWait());
      return;
    }
    retryRead();
  }

  /** Called when a read of the log has failed. */
  public void onLogFailed() {
    logReachable = false;
    installConfirmedSnapshot();
    retryRead();
  }

  /** Called when a link to a peer is up. */
  public void onPeerUp(InstanceId peer) {
    peers.add(peer);
    if (serving) {
      port.sendDigest(peer, replica.nextOffset());
    } else {
      requestSnapshot(peer);
    }
  }

  /** Called when the last link to a peer is down. */
  public void onPeerDown(InstanceId peer) {
    peers.remove(peer);
  }

  /** Called with a peer's next offset; sends the peer what it lacks, or requests what it has. */
  public void onDigest(InstanceId peer, long peerNext) {
    if (!serving) {
      replica.raiseKnownOffset(peerNext);
      return;
    }
    if (peerNext < replica.nextOffset() || peerNext <= 1) {
      port.sendUpdate(peer, replica.updateFor(peerNext));
    } else if (peerNext > replica.nextOffset()) {
      port.sendDigest(peer, replica.nextOffset());
    }
  }

  /** Called when a peer has sent records or a snapshot. */
  public void onUpdate(InstanceId peer, PeerUpdate update) {
    if (!serving) {
      replica.raiseKnownOffset(update.next());
      update.snapshot().ifPresent(s -> collectSnapshot(peer, s));
      return;
    }
    boolean newer = update.next() > replica.nextOffset();
    if (!replica.onPeer(update) && newer && update.snapshot().isPresent()) {
      port.onDivergence(peer);
    }
  }

  private void serve(ConfigSyncPort.Source source) {
    if (serving) {
      return;
    }
    serving = true;
    peerSnapshots.clear();
    port.onServing(source);
    peers.forEach(p -> port.sendDigest(p, replica.nextOffset()));
  }

  private void retryRead() {
    Duration delay = backoff.nextDelay();
    port.after(delay, () -> port.readLog(replica.readFrom(), Duration.ZERO));
  }

  private void gossip() {
    if (serving) {
      randomPeer().ifPresent(p -> port.sendDigest(p, replica.nextOffset()));
    } else {
      peers.stream().limit(STARTUP_FANOUT).forEach(this::requestSnapshot);
    }
    port.after(gossipDelay(), this::gossip);
  }

  private void requestSnapshot(InstanceId peer) {
    port.sendDigest(peer, 1);
  }

  private Optional<InstanceId> randomPeer() {
    if (peers.isEmpty()) {
      return Optional.empty();
    }
    return peers.stream().skip(random.nextInt(peers.size())).findFirst();
  }

  private Duration gossipDelay() {
    long millis = policy.gossipPeriod().toMillis();
    return Duration.ofMillis(random.nextLong(millis / 2, millis + 1));
  }

  private void collectSnapshot(InstanceId peer, ProfileSnapshot snapshot) {
    peerSnapshots.merge(peer, snapshot, (a, b) -> a.through() > b.through() ? a : b);
    if (!collectingSnapshots) {
      collectingSnapshots = true;
      port.after(policy.snapshotCollectionTime(), this::onSnapshotsCollected);
    }
  }

  private void onSnapshotsCollected() {
    collectingSnapshots = false;
    installConfirmedSnapshot();
  }

  /**
   * Installs the newest confirmed snapshot of the peers if the log can't be read or has a gap.
   * Starts serving with it only if the log can't be read.
   */
  private void installConfirmedSnapshot() {
    if (serving || collectingSnapshots || (logReachable && !replica.hasGap())) {
      return;
    }
    newestConfirmedSnapshot().ifPresent(replica::install);
    if (!logReachable && replica.isCurrent() && newestConfirmedSnapshot().isPresent()) {
      serve(ConfigSyncPort.Source.PEERS);
    }
  }

  private Optional<ProfileSnapshot> newestConfirmedSnapshot() {
    List<ProfileSnapshot> newestFirst = new ArrayList<>(peerSnapshots.values());
    newestFirst.sort(Comparator.comparingLong(ProfileSnapshot::through).reversed());
    for (ProfileSnapshot s : newestFirst) {
      long confirmations = newestFirst.stream().filter(s::isSuccessorOf).count();
      if (s.isWellFormed() && rules.isConfirmed((int) confirmations)) {
        return Optional.of(s);
      }
    }
    return Optional.empty();
  }

  private void scheduleSnapshotIfDue(long first) {
    if (!policy.appendsSnapshots() || snapshotScheduled || !isSnapshotDue(first)) {
      return;
    }
    snapshotScheduled = true;
    Duration delay = Duration.ofMillis(random.nextLong(policy.maxSnapshotDelay().toMillis() + 1));
    port.after(delay, () -> appendSnapshot(first));
  }

  private void appendSnapshot(long first) {
    snapshotScheduled = false;
    if (serving && logReachable && isSnapshotDue(first)) {
      port.appendSnapshot(replica.snapshot());
    }
  }

  private boolean isSnapshotDue(long first) {
    long newest = replica.newestSnapshotOffset();
    if (replica.fold().appliedOffset() == 0) {
      return false;
    }
    long age = clock.now().toEpochMilli() - replica.newestSnapshotMillis();
    return newest < first
        || replica.fold().appliedOffset() - newest >= policy.maxRecordsAfterSnapshot()
        || age >= policy.maxSnapshotAge().toMillis();
  }
}
