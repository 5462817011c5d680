package org.carobhoist.server.settings;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.truth.Correspondence;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.core.settings.SettingsProblem;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Checks each broken document of a folder. Each must be refused with exactly the faults listed in
 * its own comments of the form {@code #! message}, in order; a message that ends in {@code ...} is
 * compared by its prefix only. The folder also has a valid document that must be accepted; without
 * it, a defect that causes every document to be refused might go unnoticed.
 */
abstract class BrokenDocumentCases {

  private static final String EXPECTED_PREFIX = "#! ";
  private static final Path ROOT = Path.of("src", "test", "resources", "broken");
  private static final String VALID_DOCUMENT = "good.ini";
  private static final String ELLIPSIS = "...";
  private static final Correspondence<String, String> MATCH =
      Correspondence.from(BrokenDocumentCases::matches, "matches");

  /** Returns the kind of the folder's documents. */
  protected abstract DocumentKind kind();

  @TestFactory
  final Stream<DynamicTest> refusesEachBrokenDocument() throws IOException {
    try (Stream<Path> files = Files.list(folder())) {
      return files
          .filter(f -> !f.endsWith(VALID_DOCUMENT))
          .sorted()
          .map(f -> DynamicTest.dynamicTest(f.getFileName().toString(), () -> assertRefused(f)))
          .toList()
          .stream();
    }
  }

  private Path folder() {
    return ROOT.resolve(kind().name().toLowerCase(Locale.ROOT));
  }

  private void assertRefused(Path file) throws IOException {
    String text = Files.readString(file);
    List<String> expected =
        text.lines()
            .filter(l -> l.startsWith(EXPECTED_PREFIX))
            .map(l -> l.substring(EXPECTED_PREFIX.length()))
            .toList();
    assertWithMessage("expected faults in the document's comments").that(expected).isNotEmpty();

    String name = file.getFileName().toString();
    SettingsException refused =
        assertThrows(
            SettingsException.class, () -> DocumentChecker.check(kind(), name, text), name);
    assertThat(refused.problems().stream().map(SettingsProblem::toString).toList())
        .comparingElementsUsing(MATCH)
        .containsExactlyElementsIn(expected)
        .inOrder();
  }

  private static boolean matches(String message, String expected) {
    if (!expected.endsWith(ELLIPSIS)) {
      return message.equals(expected);
    }
    return message.startsWith(expected.substring(0, expected.length() - ELLIPSIS.length()));
  }

  @Test
  final void acceptsValidDocument() throws Exception {
    String text = Files.readString(folder().resolve(VALID_DOCUMENT));
    DocumentChecker.check(kind(), VALID_DOCUMENT, text);
    assertThat(DocumentKind.of(text)).isEqualTo(kind());
  }
}
