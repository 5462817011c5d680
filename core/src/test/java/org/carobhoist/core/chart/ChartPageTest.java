package org.carobhoist.core.chart;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.carobhoist.core.duty.DutyCaller;
import org.carobhoist.core.membership.EndpointLifecycle;
import org.carobhoist.core.request.RequestStateMachine;
import org.carobhoist.core.reward.RewardCallScheduler;
import org.carobhoist.core.rollout.StepCoordinator;
import org.carobhoist.core.swap.SwapCoordinator;
import org.junit.jupiter.api.Test;

/**
 * Checks that {@code docs/CHARTS.md} matches the chart files. With the system property {@code
 * carobhoist.writePages} the page is regenerated first.
 */
final class ChartPageTest {

  private static final Path PAGE = Path.of("..", "docs", "CHARTS.md");
  private static final Path CHARTS = Path.of("src", "main", "resources", "charts");
  private static final List<StateChart<?, ?, ?>> ALL_CHARTS =
      List.of(
          RequestStateMachine.chart(),
          EndpointLifecycle.chart(),
          RewardCallScheduler.chart(),
          StepCoordinator.sampleChart(),
          SwapCoordinator.chart(),
          DutyCaller.chart());

  @Test
  void pageMatchesChartFiles() throws IOException {
    String expected = page();
    if (Boolean.getBoolean("carobhoist.writePages")) {
      Files.writeString(PAGE, expected);
    }
    assertThat(Files.readString(PAGE)).isEqualTo(expected);
  }

  @Test
  void pageContainsEveryChart() throws IOException {
    try (Stream<Path> files = Files.list(CHARTS)) {
      List<String> names =
          files.map(f -> f.getFileName().toString().replace(".ini", "")).sorted().toList();
      assertThat(ALL_CHARTS.stream().map(StateChart::name).sorted().toList()).isEqualTo(names);
    }
  }

  private static String page() {
    List<String> parts = new ArrayList<>();
    parts.add(
        "# State charts\n\nDrawn from the files in `core/src/main/resources/charts`, which the code"
            + " interprets;\n`ChartPageTest` holds this page against them. Events that a state"
            + " ignores are left out.\nTo write the page anew: `mvn -pl core verify"
            + " -Dtest=ChartPageTest -Dcarobhoist.writePages=true`.\n");
    ALL_CHARTS.forEach(c -> parts.add(section(c)));
    return String.join("\n", parts);
  }

  private static String section(StateChart<?, ?, ?> chart) {
    String title =
        chart.name().substring(0, 1).toUpperCase(Locale.ROOT) + chart.name().substring(1);
    return "## " + title + "\n\n```mermaid\n" + draw(chart) + "```\n";
  }

  private static <S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> String draw(
      StateChart<S, E, A> chart) {
    return ChartDiagram.draw(chart);
  }
}
