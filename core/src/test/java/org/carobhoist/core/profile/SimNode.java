package org.carobhoist.core.profile;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.carobhoist.core.common.InstanceId;

/** A simulated process with injectable faults, whose state is checked after every event. */
final class SimNode implements ConfigSyncPort, ReplicaListener {

  private static final Duration LATENCY = Duration.ofMillis(1);

  final InstanceId id;
  private final ConfigSyncSimulation sim;
  private final SplittableRandom random;
  private final boolean entry;
  private ConfigSyncCoordinator coordinator;
  private final Set<InstanceId> snapshotSenders = new HashSet<>();
  private final List<Runnable> deferredTasks = new ArrayList<>();
  private int epoch;
  private long highestApplied;
  private long highestOpaqueOffset;
  boolean alive;
  boolean paused;
  boolean cutFromLog;
  boolean cutFromPeers;
  Duration messageDelay = LATENCY;
  long messages;
  long reads;

  SimNode(ConfigSyncSimulation sim, String name, boolean entry, SplittableRandom random) {
    this.sim = sim;
    this.id = new InstanceId(name);
    this.entry = entry;
    this.random = random;
  }

  boolean isEntry() {
    return entry;
  }

  ConfigSyncCoordinator coordinator() {
    return coordinator;
  }

  void start() {
    epoch++;
    alive = true;
    paused = false;
    highestApplied = 0;
    highestOpaqueOffset = 0;
    snapshotSenders.clear();
    deferredTasks.clear();
    coordinator =
        ConfigSyncCoordinator.create(
            this, sim.policy(entry), sim.rules(), sim.clock(), random.split(), this);
    coordinator.start();
    sim.peersOf(this).forEach(this::link);
  }

  void crash() {
    if (alive) {
      alive = false;
      epoch++;
      sim.peersOf(this).forEach(p -> p.unlink(this));
    }
  }

  void resume() {
    paused = false;
    List<Runnable> now = List.copyOf(deferredTasks);
    deferredTasks.clear();
    now.forEach(this::run);
  }

  void onMessage(SimNode from, PeerUpdate update) {
    if (update.snapshot().isPresent()) {
      snapshotSenders.add(from.id);
    }
    guarded(() -> coordinator.onUpdate(from.id, update)).run();
  }

  /** Throws if the state differs from the correct state at the same offset or has gone back. */
  void check() {
    long applied = coordinator.replica().fold().appliedOffset();
    if (applied < highestApplied) {
      throw new IllegalStateException(id + " went back to offset " + applied);
    }
    if (applied == highestApplied) {
      return;
    }
    highestApplied = applied;
    ProfileSnapshot state = coordinator.replica().snapshot();
    if (!state.equals(sim.log().stateAt(state.through()))) {
      throw new IllegalStateException(id + " differs from the log at offset " + state.through());
    }
  }

  @Override
  public void readLog(long from, Duration wait) {
    reads++;
    if (cutFromLog) {
      after(Duration.ofMillis(100), coordinator::onLogFailed);
      return;
    }
    int taskEpoch = epoch;
    sim.log()
        .read(
            from,
            wait,
            read -> answer(taskEpoch, () -> coordinator.onLogRead(read)),
            () -> answer(taskEpoch, coordinator::onLogFailed));
  }

  @Override
  public void sendDigest(InstanceId peer, long nextOffset) {
    send(peer, to -> to.guarded(() -> to.coordinator.onDigest(id, nextOffset)).run());
  }

  @Override
  public void sendUpdate(InstanceId peer, PeerUpdate update) {
    send(peer, to -> to.onMessage(this, update));
  }

  @Override
  public void appendSnapshot(ProfileSnapshot snapshot) {
    if (!cutFromLog) {
      sim.log().append(snapshot, offset -> {});
    }
  }

  @Override
  public void after(Duration delay, Runnable task) {
    sim.queue().after(delay, guarded(task));
  }

  @Override
  public void onServing(Source source) {
    if (source == Source.PEERS && snapshotSenders.size() < 2) {
      throw new IllegalStateException(id + " serves with snapshots from only " + snapshotSenders);
    }
  }

  @Override
  public void onDivergence(InstanceId peer) {}

  @Override
  public void onChange(long offset, ProfileChange change, FoldOutcome outcome) {}

  @Override
  public void onOpaqueRecord(LogItem item, OpaqueRecord record) {
    if (item.offset() <= highestOpaqueOffset && record.key().equals("weights/m")) {
      throw new IllegalStateException(id + " received an outdated weight order");
    }
    highestOpaqueOffset = item.offset();
  }

  @Override
  public void onSkipped(long offset, String reason) {}

  @Override
  public void onInstalled(ProfileSnapshot snapshot) {}

  private interface Delivery {
    void deliver(SimNode node);
  }

  private void send(InstanceId peer, Delivery delivery) {
    messages++;
    SimNode to = sim.node(peer);
    sim.queue()
        .after(
            messageDelay,
            () -> {
              if (to.alive && !cutFromPeers && !to.cutFromPeers) {
                delivery.deliver(to);
              }
            });
  }

  private void answer(int readEpoch, Runnable task) {
    if (readEpoch == epoch) {
      guarded(cutFromLog ? coordinator::onLogFailed : task).run();
    }
  }

  private Runnable guarded(Runnable task) {
    int taskEpoch = epoch;
    return () -> {
      if (taskEpoch == epoch && alive) {
        run(task);
      }
    };
  }

  private void run(Runnable task) {
    if (paused) {
      deferredTasks.add(task);
      return;
    }
    task.run();
    check();
  }

  private void link(SimNode peer) {
    if (peer.alive) {
      guarded(() -> coordinator.onPeerUp(peer.id)).run();
      peer.guarded(() -> peer.coordinator.onPeerUp(id)).run();
    }
  }

  private void unlink(SimNode peer) {
    guarded(() -> coordinator.onPeerDown(peer.id)).run();
  }
}
