package org.carobhoist.server.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.carobhoist.core.profile.ProfileReader;
import org.carobhoist.core.settings.SettingSpec;
import org.junit.jupiter.api.Test;

/**
 * Checks that docs/SETTINGS.md is exactly the page generated from the setting specs. Run with
 * {@code -Dcarobhoist.writePages=true} to regenerate the page.
 */
final class SettingsPageTest {

  private static final Path PAGE = Path.of("..", "docs", "SETTINGS.md");
  private static final String HEAD =
      """
      # Settings and profiles

      Every key of the three kinds of INI documents. The tables are generated from the code, and a
      test compares this page with them.

      An INI document has four forms of line: blank, comment (`#` or `;`), `[section]` and
      `key = value`. A value may be followed by a space and a comment. Values are written without
      quotes and can't continue on the next line; variables in them aren't expanded. A document with
      any fault is rejected as a whole: the faults are printed with file, section, key, value and
      allowed range, as far as they apply, and the process exits with 2. If there are syntax errors,
      only these are printed. `carobhoist check FILE` runs the same checks without starting or
      publishing anything.

      The gateway role has no INI document. Its limits for clients are fixed; docs/design/client-limits.md gives the
      reasons.

      | limit | value | above it |
      |---|---|---|
      | bytes held for requests and responses | 3/8 of the heap, at most 7/8 of the direct memory | bodies wait, then 503 |
      | wait of a body for memory | 5 s | 503 |
      | rate of a body that isn't paused | 1,024 bytes in 15 s | 408 |
      | lines of a head, or of trailers | 16384 | 431 |
      | blank bytes before a head | 64 | 400 |
      | time for a head | `header_timeout_ms` of the manifest, 3 s without one | 408 |
      | open connections | one for each 64 KiB of heap | the longest without a request is closed |
      | open connections of one address | half of that | the same |
      | response that isn't read | 15 s without progress | the connection is closed |
      | HTTP/2 requests in progress on a connection | 256 | the client must wait |
      """;

  @Test
  void pageMatchesTheSpecs() throws IOException {
    String page =
        HEAD
            + kind("Entry", "`carobhoist entry --settings FILE`", SettingsLoader.ENTRY_SPECS)
            + kind("Sidecar", "`carobhoist sidecar --settings FILE`", SettingsLoader.SIDECAR_SPECS)
            + kind("Profile", "`carobhoist profile publish`", ProfileReader.SPECS);
    if (Boolean.getBoolean("carobhoist.writePages")) {
      Files.writeString(PAGE, page);
    }
    assertThat(Files.readString(PAGE)).isEqualTo(page);
  }

  private static String kind(String title, String usedBy, List<SettingSpec<?>> specs) {
    Map<String, List<SettingSpec<?>>> sections =
        specs.stream()
            .collect(
                Collectors.groupingBy(
                    SettingSpec::section, LinkedHashMap::new, Collectors.toList()));
    StringBuilder out = new StringBuilder("\n## " + title + "\n\nRead by " + usedBy + ".\n");
    sections.forEach((name, keys) -> appendSection(out, name, keys));
    return out.toString();
  }

  private static void appendSection(StringBuilder out, String name, List<SettingSpec<?>> keys) {
    out.append("\n### [").append(name).append("]\n\n");
    out.append("| key | allowed | if missing | effect |\n|---|---|---|---|\n");
    keys.forEach(k -> out.append(row(k)));
  }

  private static String row(SettingSpec<?> k) {
    String fallback = k.fallback().map(SettingsPageTest::code).orElse("required");
    return "| `%s` | %s | %s | %s |\n".formatted(k.key(), k.range(), fallback, k.effect());
  }

  private static String code(String fallback) {
    return fallback.isEmpty() ? "empty" : "`" + fallback + "`";
  }
}
