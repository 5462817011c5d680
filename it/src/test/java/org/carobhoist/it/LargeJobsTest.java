package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import org.carobhoist.standin.PlatformDocuments;
import org.carobhoist.standin.PlatformServerStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Guards against jobs that travel between processes although the store can never hold them. */
@Execution(ExecutionMode.CONCURRENT)
final class LargeJobsTest {

  private static final String JOBS = PlatformDocuments.JOBS_HOST;
  private static final int CALL_BYTES = 50_000;

  @TempDir private Path folder;

  @Test
  void jobOverTheLimitOfTheStoreIsRefusedAndRunsNowhere() throws IOException {
    try (GatewayCluster cluster = GatewayCluster.start(folder)) {
      cluster.store().setMaxCallBytes(CALL_BYTES);
      cluster.startEntryWith("entry-1", "platform.call_bytes=" + CALL_BYTES + "\n");
      final PlatformServerStandIn engine = cluster.addServer("e-1", "lm", true);
      cluster.awaitReady("entry-1");
      assertThat(submit(cluster, "large", CALL_BYTES + 1)).isEqualTo(413);
      // The records of this one are too large because of what is stored beside its body.
      assertThat(submit(cluster, "edge", CALL_BYTES)).isEqualTo(413);
      assertThat(submit(cluster, "small", CALL_BYTES - 1_000)).isEqualTo(202);
      cluster.awaitListed("entry-1", "small", 2);
      assertThat(engine.runs().stream().filter(r -> !r.startsWith("small"))).isEmpty();
      assertThat(cluster.log("entry-1")).doesNotContain("event=7108");
    }
  }

  /** Submits a job of two items whose body has the given size; returns the response's status. */
  private static int submit(GatewayCluster cluster, String id, int bytes) {
    String job = PlatformDocuments.job(1, id + "-a", id + "-b");
    String body = job + " ".repeat(bytes - job.length());
    return cluster.post("entry-1", JOBS, "/j", body, id).status().code();
  }
}
