package org.carobhoist.it;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import org.carobhoist.standin.FaultProxy;
import org.carobhoist.standin.PlatformServerStandIn;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs real processes under overlapping faults and checks what clients and servers observed. Guards
 * against results that are lost, duplicated, mixed up or attributed to the wrong weight version,
 * and against requests that run although the client was promised that they don't.
 *
 * <p>A build runs two seeds; {@code -Dcarobhoist.soak=FIRST,COUNT} runs others.
 */
@Execution(ExecutionMode.SAME_THREAD)
final class GatewaySoakTest {

  private static final Duration FAULT_TIME = Duration.ofSeconds(10);
  private static final int CLIENTS_PER_ENTRY = 2;
  private static final List<String> ENTRIES = List.of("entry-1", "entry-2", "entry-3");

  @TempDir private Path folder;

  static LongStream seeds() {
    String[] range = System.getProperty("carobhoist.soak", "1,2").split(",");
    long first = Long.parseLong(range[0]);
    return LongStream.range(first, first + Long.parseLong(range[1]));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void guaranteesHoldUnderOverlappingFaults(long seed) throws IOException {
    Path seedFolder = Files.createDirectory(folder.resolve("seed-" + seed));
    List<FaultProxy> proxies = new ArrayList<>();
    try (GatewayCluster cluster = GatewayCluster.start(seedFolder)) {
      cluster.publish(2, "non_idempotent");
      for (String entry : ENTRIES) {
        FaultProxy proxy = FaultProxy.forTarget("127.0.0.1", cluster.store().uri().getPort());
        proxy.start();
        proxies.add(proxy);
        cluster.startEntry(entry, "127.0.0.1:" + proxy.port());
      }
      List<PlatformServerStandIn> engines =
          List.of(cluster.addServer("e-1", "lm", true), cluster.addServer("e-2", "lm", true));
      engines.forEach(e -> e.setEvents(12, 30));
      List<PlatformServerStandIn> apps =
          List.of(cluster.addServer("s-1", "app", false), cluster.addServer("s-2", "app", false));
      ENTRIES.forEach(cluster::awaitReady);
      SoakFaults faults = new SoakFaults(cluster, ENTRIES, proxies, engines, apps, seed);
      SoakClients clients = new SoakClients(cluster, ENTRIES);
      final CompletableFuture<Void> stopped = clients.start(CLIENTS_PER_ENTRY);
      faults.inject(FAULT_TIME);
      ENTRIES.forEach(cluster::awaitReady);
      clients.stop();
      stopped.join();
      String context = "seed " + seed + " " + faults.injected();
      assertWithMessage(context).that(clients.violations()).isEmpty();
      assertWithMessage(context).that(clients.served()).isGreaterThan(0);
      checkRequests(context, clients, apps);
      checkJobs(context, cluster, clients);
    } finally {
      for (FaultProxy proxy : proxies) {
        proxy.stop();
      }
    }
  }

  /** Checks that non-idempotent requests run at most once, and never after a 429 or 503. */
  private static void checkRequests(
      String context, SoakClients clients, List<PlatformServerStandIn> apps) {
    Map<String, Integer> runs = new HashMap<>();
    for (PlatformServerStandIn app : apps) {
      app.runs().stream()
          .map(r -> r.split(" ")[0])
          .filter(id -> id.contains("-caller-"))
          .forEach(id -> runs.merge(id, 1, Integer::sum));
    }
    List<String> ranMoreThanOnce =
        runs.entrySet().stream().filter(e -> e.getValue() > 1).map(Map.Entry::getKey).toList();
    List<String> brokenPromises =
        clients.promisedNotRun().stream().filter(runs::containsKey).toList();
    assertWithMessage(context).that(ranMoreThanOnce).isEmpty();
    assertWithMessage(context).that(brokenPromises).isEmpty();
  }

  /** Checks that accepted jobs complete, equal at every entry, with each item listed once. */
  private static void checkJobs(String context, GatewayCluster cluster, SoakClients clients) {
    assertWithMessage(context).that(clients.accepted()).isNotEmpty();
    clients
        .accepted()
        .forEach(
            (job, items) -> {
              ENTRIES.forEach(e -> cluster.awaitListed(e, job, items.size()));
              String page = cluster.results(ENTRIES.get(0), job);
              for (String entry : ENTRIES) {
                assertWithMessage(context).that(cluster.results(entry, job)).isEqualTo(page);
              }
              for (String item : items) {
                String expected =
                    "\"id\":\"" + item + "\",\"state\":\"completed\",\"text\":\"" + item;
                assertWithMessage(context).that(page).contains(expected + "-1\\n" + item + "-2\\n");
                assertWithMessage(context)
                    .that(page)
                    .contains("\\n" + item + "-12\",\"versions\":[1]");
              }
              assertWithMessage(context)
                  .that(page.split("\"score\":\"stamp-of-s-", -1))
                  .hasLength(items.size() + 1);
              assertWithMessage(context)
                  .that(cluster.store().count("keyed.jobs", shardOf(job), "result/" + job + "/"))
                  .isEqualTo(items.size());
            });
  }

  private static int shardOf(String job) {
    return Math.floorMod(job.hashCode(), 4);
  }
}
