package org.carobhoist.it;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.carobhoist.standin.FaultProxy;
import org.carobhoist.standin.PlatformServerStandIn;

/**
 * Injects overlapping faults, chosen by a seed: processes are killed, stopped or suspended, lose
 * their connection to the store, the store rejects all calls or drops responses, engines abort
 * streams, and plain servers are overloaded. Every fault ends by itself.
 */
final class SoakFaults {

  private static final int MAX_GAP_MILLIS = 900;
  private static final int MIN_FAULT_MILLIS = 300;
  private static final int MAX_FAULT_MILLIS = 3_000;

  private final GatewayCluster cluster;
  private final List<String> entries;
  private final List<FaultProxy> proxies;
  private final List<PlatformServerStandIn> engines;
  private final List<PlatformServerStandIn> apps;
  private final SplittableRandom random;
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final List<String> injected = new ArrayList<>();
  private final boolean[] faulty;

  SoakFaults(
      GatewayCluster cluster,
      List<String> entries,
      List<FaultProxy> proxies,
      List<PlatformServerStandIn> engines,
      List<PlatformServerStandIn> apps,
      long seed) {
    this.cluster = cluster;
    this.entries = entries;
    this.proxies = proxies;
    this.engines = engines;
    this.apps = apps;
    this.random = new SplittableRandom(seed);
    this.faulty = new boolean[entries.size()];
  }

  /** Injects faults for the given time, then waits until the last ones have ended. */
  void inject(Duration length) {
    long end = length.toMillis();
    for (long at = 0; at < end; at += random.nextInt(MAX_GAP_MILLIS)) {
      int kind = random.nextInt(10);
      int index = random.nextInt(entries.size());
      int millis = random.nextInt(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS);
      timer.schedule(() -> startFault(kind, index, millis), at, TimeUnit.MILLISECONDS);
    }
    CompletableFuture<Void> finished = new CompletableFuture<>();
    timer.schedule(
        () -> finished.complete(null), end + 2L * MAX_FAULT_MILLIS, TimeUnit.MILLISECONDS);
    finished.join();
    timer.shutdown();
  }

  /** Returns the injected faults, for assertion messages. */
  List<String> injected() {
    return injected;
  }

  private void startFault(int kind, int index, int millis) {
    try {
      switch (kind) {
        case 0, 1, 2 -> injectProcessFault(kind, index, millis);
        case 3 ->
            injectFor(index, millis, "store refuses", on -> proxies.get(index).setRefusing(on));
        case 4 -> injectFor(index, millis, "store frozen", on -> proxies.get(index).setFrozen(on));
        case 5 ->
            injectFor(index, millis, "no replies", on -> proxies.get(index).setDropReplies(on));
        case 6 ->
            injectFor(-1, millis / 2, "store down", on -> cluster.store().rejectCalls(t -> on));
        case 7 -> {
          record("store responses dropped", -1, 0);
          cluster.store().dropResponses(3);
        }
        case 8 -> {
          PlatformServerStandIn engine = engines.get(index % engines.size());
          record("stream aborted at " + engine.instance(), -1, 0);
          engine.abortNextStreamAfter(random.nextInt(1, 8));
        }
        default -> {
          PlatformServerStandIn app = apps.get(index % apps.size());
          injectFor(
              -1,
              millis / 3,
              "overload of " + app.instance(),
              on -> app.setForcedStatus(on ? 503 : 0));
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Injects a fault into a process that has none, so that the process runs after each fault. */
  private void injectProcessFault(int kind, int index, int millis) throws IOException {
    if (faulty[index]) {
      return;
    }
    faulty[index] = true;
    RoleProcess process = cluster.process(entries.get(index));
    switch (kind) {
      case 0 -> {
        record("killed", index, millis);
        process.kill();
      }
      case 1 -> {
        record("stopped", index, millis);
        process.requestStop();
      }
      default -> {
        record("paused", index, millis);
        process.pause();
      }
    }
    timer.schedule(() -> endProcessFault(kind, index, process), millis, TimeUnit.MILLISECONDS);
  }

  private void endProcessFault(int kind, int index, RoleProcess process) {
    try {
      if (kind == 2) {
        process.resume();
      } else {
        process.kill();
        process.restart();
      }
      faulty[index] = false;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void injectFor(int index, int millis, String what, Switch fault) {
    record(what, index, millis);
    fault.set(true);
    timer.schedule(() -> fault.set(false), millis, TimeUnit.MILLISECONDS);
  }

  private void record(String what, int index, int millis) {
    injected.add(what + (index < 0 ? "" : " " + entries.get(index)) + " " + millis + " ms");
  }

  private interface Switch {
    void set(boolean on);
  }
}
