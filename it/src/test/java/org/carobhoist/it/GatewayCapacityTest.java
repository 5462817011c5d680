package org.carobhoist.it;

import java.io.IOException;
import java.nio.file.Path;
import java.util.regex.Pattern;
import org.carobhoist.standin.PlatformDocuments;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Guards against measurements that don't reach the coordinator, or estimates that don't return. */
@Execution(ExecutionMode.CONCURRENT)
final class GatewayCapacityTest {

  private static final Pattern KNOWN_LATENCY =
      Pattern.compile(
          "^carobhoist_capacity_latency_seconds\\{endpoint=\"s-1\"} (0\\.0*[1-9]|[1-9])",
          Pattern.MULTILINE);

  @TempDir private Path folder;

  @Test
  void coordinatorAndOtherGatewayLearnEachOthersLatencies() throws IOException {
    try (GatewayCluster cluster = GatewayCluster.withTwoEntries(folder)) {
      cluster.addServer("s-1", "app", false);
      cluster.awaitReady("entry-1");
      cluster.awaitReady("entry-2");
      String first = cluster.awaitLinkedCoordinator();
      String second = GatewayCluster.otherEntry(first);
      awaitEstimate(cluster, second, first);
      awaitEstimate(cluster, first, second);
    }
  }

  /** Sends requests to one gateway until the other one shows an estimate. */
  private static void awaitEstimate(GatewayCluster cluster, String busy, String idle) {
    cluster.await("no estimate at " + idle, () -> !isKnown(cluster, idle));
    cluster.await(
        "an estimate at " + idle,
        () -> {
          String id = busy + "-" + System.nanoTime();
          cluster.post(busy, PlatformDocuments.BOOKINGS_HOST, "/seat", "x", id);
          return isKnown(cluster, idle);
        });
  }

  private static boolean isKnown(GatewayCluster cluster, String entry) {
    return KNOWN_LATENCY.matcher(cluster.metrics(entry)).find();
  }
}
