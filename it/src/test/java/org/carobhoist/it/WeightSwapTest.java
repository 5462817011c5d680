package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.MediaType;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.carobhoist.standin.EngineStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against engines that stay on an old weight version after a crash of an engine, the kill of
 * a sidecar, or a lost response to the order.
 */
final class WeightSwapTest {

  private static final int ENGINES = 3;

  @TempDir private Path folder;

  private final List<EngineStandIn> engines = new ArrayList<>();
  private TestCluster cluster;

  @BeforeEach
  void startCluster() throws Exception {
    cluster = TestCluster.start(folder);
    cluster.publish("horno", "[profile]\nservice = horno-lm\nkind = engine\n");
    cluster.startEntry("entry-1", "centro-a");
    for (int i = 0; i < ENGINES; i++) {
      EngineStandIn engine = new EngineStandIn();
      engine.start();
      engines.add(engine);
      cluster.startSidecar("engine-" + i, "centro-a", "horno-lm", "engine", engine.uri());
    }
    cluster.awaitReady();
    cluster.awaitLinks("entry-1", ENGINES);
  }

  @AfterEach
  void stopCluster() {
    cluster.close();
    engines.forEach(EngineStandIn::stop);
  }

  @Test
  void everyEngineLoadsTheOrderedVersion() throws Exception {
    assertThat(order(2).status().code()).isEqualTo(200);
    awaitVersion(2);

    String first = order(2).contentUtf8();
    assertThat(order(2).contentUtf8()).isEqualTo(first);
    AggregatedHttpResponse outdated = order(1);
    assertThat(outdated.status().code()).isEqualTo(409);
    assertThat(outdated.headers().get("carobhoist-verdict")).isEqualTo("NOT_RUN");

    cluster.process("engine-0").kill();
    assertThat(order(3).status().code()).isEqualTo(200);
    cluster.process("engine-0").restart();
    awaitVersion(3);

    engines.get(1).setVersion(1);
    awaitVersion(3);
    for (EngineStandIn engine : engines) {
      assertThat(engine.loadedVersions()).isInOrder();
    }
  }

  @Test
  void orderCompletesAfterItsResponseWasLost() {
    cluster.platform().dropAppendResponses(1);
    AggregatedHttpResponse lostResponse = order(2);
    assertThat(lostResponse.headers().get("carobhoist-verdict"))
        .isAnyOf("MAY_HAVE_RUN", "COMPLETED");
    assertThat(order(2).status().code()).isEqualTo(200);
    awaitVersion(2);
  }

  private AggregatedHttpResponse order(long version) {
    return WebClient.of(cluster.http("entry-1"))
        .prepare()
        .post("/v1/models/horno-lm/weights")
        .content(MediaType.JSON, "{\"version\":" + version + "}")
        .execute()
        .aggregate()
        .join();
  }

  private void awaitVersion(long version) {
    TestCluster.await(
        "all engines serve " + version,
        () -> engines.stream().allMatch(e -> e.version() == version));
    for (int i = 0; i < ENGINES; i++) {
      String name = "engine-" + i;
      TestCluster.await(
          name + " announces " + version,
          () -> cluster.state(name).contains("\"served\":" + version + ","));
    }
  }
}
