package org.carobhoist.core.profile;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;

/**
 * Simulation of two entries and four sidecars, with a link between each entry and each sidecar,
 * that share one log. After each event of a process, its state is compared with the correct state
 * at the same log offset.
 */
final class ConfigSyncSimulation {

  static final String DOCUMENT = "[profile]\nservice = horno-lm\nkind = engine\n";

  private static final Duration RECOVERY_TIME = Duration.ofSeconds(60);

  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final SimLog log = new SimLog(clock, queue);
  private final ReplicaRules rules;
  private final boolean acknowledgeEarly;
  private final SplittableRandom random;
  private final List<SimNode> nodes = new ArrayList<>();
  private final Map<InstanceId, List<SimNode>> peers = new HashMap<>();
  private final Map<InstanceId, SimNode> byId = new HashMap<>();
  private final List<SimOperator> operators = new ArrayList<>();

  ConfigSyncSimulation(ReplicaRules rules, boolean acknowledgeEarly, SplittableRandom random) {
    this(rules, acknowledgeEarly, random, 2, 4, 4);
  }

  /** Creates a larger simulation in which each entry has links to some of the sidecars. */
  ConfigSyncSimulation(
      ReplicaRules rules,
      boolean acknowledgeEarly,
      SplittableRandom random,
      int entries,
      int sidecars,
      int links) {
    this.rules = rules;
    this.acknowledgeEarly = acknowledgeEarly;
    this.random = random;
    for (int i = 0; i < entries + sidecars; i++) {
      boolean entry = i < entries;
      nodes.add(new SimNode(this, (entry ? "entry-" : "sidecar-") + i, entry, random.split()));
    }
    for (int e = 0; e < entries; e++) {
      for (int k = 0; k < links; k++) {
        SimNode sidecar = nodes.get(entries + (e * links + k) % sidecars);
        peers.computeIfAbsent(nodes.get(e).id, key -> new ArrayList<>()).add(sidecar);
        peers.computeIfAbsent(sidecar.id, key -> new ArrayList<>()).add(nodes.get(e));
      }
    }
    nodes.forEach(n -> byId.put(n.id, n));
  }

  ManualClock clock() {
    return clock;
  }

  EventQueue queue() {
    return queue;
  }

  SimLog log() {
    return log;
  }

  ReplicaRules rules() {
    return rules;
  }

  List<SimNode> nodes() {
    return nodes;
  }

  SimNode node(InstanceId id) {
    return byId.get(id);
  }

  List<SimNode> peersOf(SimNode node) {
    return peers.getOrDefault(node.id, List.of());
  }

  ConfigSyncPolicy policy(boolean entry) {
    return new ConfigSyncPolicy(
        Duration.ofSeconds(5),
        Duration.ofMillis(500),
        Duration.ofSeconds(4),
        Duration.ofSeconds(2),
        Duration.ofSeconds(2),
        Duration.ofSeconds(15),
        4,
        Duration.ofSeconds(5),
        entry);
  }

  void run(Duration span) {
    Duration end = clock.elapsed().plus(span);
    queue.run(end);
    clock.advance(end.minus(clock.elapsed()));
  }

  void startOperator(String profile, Duration thinkTime, boolean retire) {
    SimOperator operator = new SimOperator(this, "c" + operators.size(), random.split());
    operators.add(operator);
    operator.start(new ProfileName(profile), thinkTime, retire);
  }

  void appendWeightOrder(int version) {
    byte[] data = ("order " + version).getBytes(StandardCharsets.US_ASCII);
    log.append(new OpaqueRecord("weights/m", ByteBuffer.wrap(data)), offset -> {});
  }

  /** Sends every live node an earlier state as if it came from a peer that lags behind. */
  void sendShorterHistory(ProfileSnapshot earlier) {
    long next = earlier.through() + 1;
    PeerUpdate update = new PeerUpdate(next, next, List.of(), Optional.of(earlier));
    for (SimNode node : nodes) {
      if (node.alive) {
        node.onMessage(peersOf(node).get(0), update);
      }
    }
  }

  /** Sends all other nodes only the newest record, as if that were the only one they lack. */
  void sendNewestRecord(SimNode from) {
    if (!from.alive) {
      return;
    }
    long next = from.coordinator().replica().nextOffset();
    PeerUpdate update = from.coordinator().replica().updateFor(Math.max(2, next - 1));
    nodes.stream().filter(n -> n.alive && n != from).forEach(n -> n.onMessage(from, update));
  }

  /** Ends all faults. */
  void heal() {
    log.down = false;
    log.slow = false;
    log.answersToLose = 0;
    log.appendsToTear = 0;
    for (SimNode node : nodes) {
      node.cutFromLog = false;
      node.cutFromPeers = false;
      node.messageDelay = Duration.ofMillis(1);
      if (!node.alive) {
        node.start();
      } else if (node.paused) {
        node.resume();
      }
    }
  }

  /** Ends all faults, waits, and returns the first violated invariant, if any. */
  Optional<String> healAndFindViolation() {
    heal();
    run(RECOVERY_TIME);
    ProfileSnapshot last = log.stateAt(log.next() - 1);
    for (SimNode node : nodes) {
      if (!node.coordinator().isServing()) {
        return Optional.of(node.id + " is not serving");
      }
      if (!node.coordinator().replica().snapshot().equals(last)) {
        return Optional.of(node.id + " is not up to date");
      }
    }
    return operators.stream().flatMap(o -> findViolation(o, last).stream()).findFirst();
  }

  void acknowledge(SimOperator operator, long offset) {
    if (acknowledgeEarly) {
      operator.reportAcceptedEarly(offset);
    }
  }

  private Optional<String> findViolation(SimOperator operator, ProfileSnapshot last) {
    String id = operator.changeId();
    if (!operator.isDone()) {
      return Optional.of(id + " never received an outcome");
    }
    if (operator.outcome().isEmpty()) {
      return Optional.empty();
    }
    FoldOutcome outcome = operator.outcome().get();
    boolean reportedAccepted = outcome.status() == FoldOutcome.Status.ACCEPTED;
    if (reportedAccepted != log.isAccepted(id)) {
      return Optional.of(id + " received the wrong outcome " + outcome.status());
    }
    if (outcome.status() == FoldOutcome.Status.CONFLICT && outcome.winner().isEmpty()) {
      return Optional.of(id + " conflicted, but no winning change is named");
    }
    boolean present =
        last.profiles().stream().anyMatch(p -> p.revision().compareTo(outcome.current()) >= 0);
    return reportedAccepted && !present ? Optional.of(id + " is missing") : Optional.empty();
  }
}
