package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.carobhoist.standin.PlainServiceStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against parts missing from {@code state dump}, run as a command against both roles. */
final class StateDumpTest {

  @TempDir private Path folder;

  @Test
  void showsEveryPartOfBothRoles() throws Exception {
    PlainServiceStandIn plain = new PlainServiceStandIn();
    plain.start();
    try (TestCluster cluster = TestCluster.start(folder)) {
      cluster.publish("bench", "[profile]\nservice = reservas\nkind = plain\n");
      cluster.startEntry("entry-1", "centro-a");
      cluster.startSidecar("plain-1", "centro-a", "reservas", "plain", plain.uri());
      cluster.awaitReady();
      cluster.awaitLinks("entry-1", 1);

      TestCluster.await(
          "the entry knows the endpoint",
          () -> cluster.state("entry-1").contains("\"instance\":\"plain-1\""));
      String entry = dump(cluster, "entry-1", "text");
      assertThat(entry).contains("work:\n  links: 1\n");
      assertThat(entry).contains("- instance=plain-1 service=reservas kind=plain zone=centro-a");
      assertThat(entry).contains("- profile=bench revision=1 retired=false service=reservas");
      assertThat(entry).contains("configuration:\n  revision: 1\n");

      String sidecar = dump(cluster, "plain-1", "json");
      assertThat(sidecar).contains("\"service\" : \"reservas\"");
      assertThat(sidecar).contains("\"profile\" : \"bench\"");
    } finally {
      plain.stop();
    }
  }

  private static String dump(TestCluster cluster, String process, String format) throws Exception {
    Process command =
        new ProcessBuilder(
                Path.of("..", "server", "target", "carobhoist").toString(),
                "state",
                "dump",
                cluster.http(process).getAuthority(),
                "--format",
                format)
            .start();
    String out = new String(command.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertThat(command.waitFor()).isEqualTo(0);
    return out;
  }
}
