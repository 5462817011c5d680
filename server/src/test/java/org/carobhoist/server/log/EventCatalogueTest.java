package org.carobhoist.server.log;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Verifies that docs/EVENTS.md lists exactly the events in {@link LogEvent}. */
final class EventCatalogueTest {

  private static final Path PAGE = Path.of("..", "docs", "EVENTS.md");
  private static final Pattern ROW =
      Pattern.compile("^\\| (\\d+) \\| ([^|]+) \\| ([^|]+) \\| ([^|]+) \\|$", Pattern.MULTILINE);

  @Test
  void numbersAreUnique() {
    assertThat(Arrays.stream(LogEvent.values()).map(LogEvent::number).toList())
        .containsNoDuplicates();
  }

  @Test
  void pageNamesExactlyTheEvents() throws IOException {
    List<String> documented =
        rows().stream().map(r -> r.group(1) + " " + r.group(2).strip()).toList();
    List<String> written =
        Arrays.stream(LogEvent.values()).map(e -> e.number() + " " + e.text()).toList();
    assertThat(documented).containsExactlyElementsIn(written);
  }

  @Test
  void everyEventIsExplained() throws IOException {
    for (MatchResult row : rows()) {
      assertWithMessage("meaning of " + row.group(1)).that(row.group(3).strip()).isNotEmpty();
      assertWithMessage("action for " + row.group(1)).that(row.group(4).strip()).isNotEmpty();
    }
  }

  private static List<MatchResult> rows() throws IOException {
    return ROW.matcher(Files.readString(PAGE)).results().toList();
  }
}
