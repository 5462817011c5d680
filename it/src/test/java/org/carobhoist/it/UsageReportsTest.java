package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.TreeMap;
import org.carobhoist.standin.UsageApiStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Two entries that report usage to a stand-in for the platform's API. Guards against windows that
 * are left out, reported twice with different counts or with an outdated fencing number when the
 * holder ends or the API refuses, and against reports of deployments that have no such duty.
 */
final class UsageReportsTest {

  private static final String BOUNDS = "bounds.window_s=1\nbounds.usage_late_s=4\n";

  @TempDir private Path folder;

  private static String bootLines(UsageApiStandIn api, String duties) {
    return "cloud.address=" + api.uri().getAuthority() + "\ncloud.duties=" + duties + "\n" + BOUNDS;
  }

  private static void assertNoWindowIsMissing(UsageApiStandIn api) {
    TreeMap<Long, String> bodies = api.bodies();
    assertThat(bodies.lastKey() - bodies.firstKey() + 1).isEqualTo(bodies.size());
    assertThat(api.violations()).isEmpty();
  }

  @Test
  void windowsAreReportedAcrossRefusalsAndTheEndOfTheHolder() throws IOException {
    UsageApiStandIn api = new UsageApiStandIn();
    api.start();
    try (GatewayCluster cluster = GatewayCluster.start(folder)) {
      cluster.startEntryWith("entry-1", bootLines(api, "usage_report"));
      cluster.startEntryWith("entry-2", bootLines(api, "usage_report"));
      final String holder = cluster.awaitLinkedCoordinator();
      cluster.await("three reports", () -> api.bodies().size() >= 3);
      assertThat(api.bodies().firstEntry().getValue())
          .isEqualTo("{\"window_id\":" + api.bodies().firstKey() + ",\"counts\":{}}");
      api.setRefusing(true);
      cluster.await("a repetition", () -> cluster.logUnchecked(holder).contains("event=7703"));
      api.setRefusing(false);
      int before = api.bodies().size();
      cluster.await("reports after refusals", () -> api.bodies().size() >= before + 2);
      cluster.process(holder).kill();
      cluster.await("reports of the successor", () -> api.holders().size() == 2);
      int after = api.bodies().size();
      cluster.await("more reports", () -> api.bodies().size() >= after + 3);
      assertNoWindowIsMissing(api);
      assertThat(api.holders().firstEntry().getValue()).isEqualTo(holder);
      assertThat(api.holders().lastEntry().getValue()).isEqualTo(GatewayCluster.otherEntry(holder));
      assertThat(cluster.state(GatewayCluster.otherEntry(holder))).contains("\"usage\":");
      assertThat(cluster.store().newest("keyed.usage", 0).keySet()).contains("open");
    } finally {
      api.stop();
    }
  }

  @Test
  void nothingIsReportedWithoutTheDuty() throws IOException {
    UsageApiStandIn api = new UsageApiStandIn();
    api.start();
    try (GatewayCluster cluster = GatewayCluster.start(folder)) {
      cluster.startEntryWith("entry-1", bootLines(api, "other"));
      cluster.await("a coordinator", () -> !cluster.coordinatorUnchecked().isEmpty());
      assertThat(cluster.state("entry-1")).doesNotContain("\"usage\":");
      assertThat(cluster.store().newest("keyed.usage", 0)).isEmpty();
      assertThat(api.bodies()).isEmpty();
    } finally {
      api.stop();
    }
  }
}
