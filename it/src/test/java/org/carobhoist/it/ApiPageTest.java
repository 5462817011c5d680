package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.linecorp.armeria.client.WebClient;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.carobhoist.core.common.RefusalReason;
import org.carobhoist.standin.EngineStandIn;
import org.carobhoist.standin.PlainServiceStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against outdated documentation: runs the curl commands of docs/API.md against real
 * processes, compares its table of refusals with the code, and compares the table of
 * docs/METRICS.md with the metrics that the processes export.
 */
final class ApiPageTest {

  private static final Path PAGE = Path.of("..", "docs", "API.md");
  private static final Path METRICS = Path.of("..", "docs", "METRICS.md");
  private static final String COMMAND_INDENT = "    ";
  private static final int ENTRY_COLUMN = 3;
  private static final int SIDECAR_COLUMN = 4;

  @TempDir private Path folder;

  @Test
  void everyCurlWorks() throws Exception {
    PlainServiceStandIn plain = new PlainServiceStandIn();
    EngineStandIn engine = new EngineStandIn();
    plain.start();
    engine.start();
    try (TestCluster cluster = TestCluster.start(folder)) {
      cluster.publish("horno", "[profile]\nservice = horno-lm\nkind = engine\n");
      cluster.startEntry("entry-1", "centro-a");
      cluster.startSidecar("plain-1", "centro-a", "reservas", "plain", plain.uri());
      cluster.startSidecar("engine-1", "centro-a", "horno-lm", "engine", engine.uri());
      cluster.awaitReady();
      cluster.awaitLinks("entry-1", 2);

      List<String> curls = curls();
      assertThat(curls).isNotEmpty();
      for (String curl : curls) {
        assertSucceeds(curl, cluster.http("entry-1").getAuthority());
      }
      assertThat(metrics(cluster, "entry-1")).isEqualTo(documentedMetrics(ENTRY_COLUMN));
      assertThat(metrics(cluster, "engine-1")).isEqualTo(documentedMetrics(SIDECAR_COLUMN));
      assertThat(plain.runs().keySet()).containsExactly("bench 7", "bench 9");
    } finally {
      plain.stop();
      engine.stop();
    }
  }

  @Test
  void tableNamesEveryRefusal() throws IOException {
    List<String> documented =
        Files.readString(PAGE)
            .lines()
            .filter(l -> l.matches("\\| `[a-z-]+` \\| \\d{3} \\|.*"))
            .map(l -> l.split("\\|")[1].strip() + l.split("\\|")[2].stripTrailing())
            .toList();
    List<String> inCode =
        Arrays.stream(RefusalReason.values())
            .map(r -> "`" + r.name().toLowerCase(Locale.ROOT).replace('_', '-') + "` " + r.status())
            .toList();
    assertThat(documented).containsExactlyElementsIn(inCode);
  }

  private static Set<String> metrics(TestCluster cluster, String process) {
    String page =
        WebClient.of(cluster.http(process)).get("/metrics").aggregate().join().contentUtf8();
    return page.lines()
        .filter(l -> l.startsWith("# TYPE "))
        .map(l -> l.split(" ")[2])
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private static Set<String> documentedMetrics(int column) throws IOException {
    return Files.readString(METRICS)
        .lines()
        .filter(l -> l.startsWith("| `carobhoist_"))
        .map(l -> l.split("\\|"))
        .filter(cells -> cells[column].strip().equals("yes"))
        .map(cells -> cells[1].strip().replace("`", ""))
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private static List<String> curls() throws IOException {
    return Files.readString(PAGE)
        .lines()
        .filter(l -> l.startsWith(COMMAND_INDENT) && l.contains("curl "))
        .map(String::strip)
        .toList();
  }

  /** Runs a command of the page; {@code -f} makes curl fail on an HTTP error status. */
  private static void assertSucceeds(String line, String entry)
      throws IOException, InterruptedException {
    String failOnErrorStatus = line.replace("curl -sS", "curl -sS -f");
    ProcessBuilder builder =
        new ProcessBuilder("bash", "-c", "set -o pipefail; " + failOnErrorStatus);
    builder.environment().put("ENTRY", entry);
    Process process = builder.redirectErrorStream(true).start();
    String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertWithMessage(line + "\n" + out).that(process.waitFor()).isEqualTo(0);
    assertWithMessage(line).that(out.isEmpty()).isEqualTo(false);
  }
}
