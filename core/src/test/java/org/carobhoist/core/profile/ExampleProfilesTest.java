package org.carobhoist.core.profile;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.settings.SettingSpec;
import org.junit.jupiter.api.Test;

/** Checks that the example profiles are valid and that the documentation covers every setting. */
final class ExampleProfilesTest {

  private static final Path EXAMPLES = Path.of("..", "examples");
  private static final Path PAGE = Path.of("..", "docs", "PROFILES.md");
  private static final int PROFILES = 4;

  @Test
  void everyExampleIsAcceptedAndComplete() throws Exception {
    List<Path> files;
    try (Stream<Path> found = Files.walk(EXAMPLES)) {
      files = found.filter(f -> f.toString().endsWith("-lm.ini") || isService(f)).toList();
    }
    assertThat(files).hasSize(PROFILES);
    for (Path file : files) {
      String text = Files.readString(file);
      ProfileName name = new ProfileName(file.getFileName().toString().replace(".ini", ""));
      assertThat(ProfileReader.read(name, text).service().value()).isEqualTo(name.value());
      for (SettingSpec<?> spec : ProfileReader.SPECS) {
        boolean found = Pattern.compile("(?m)^" + spec.key() + " = ").matcher(text).find();
        assertWithMessage(file + " has " + spec.key()).that(found).isTrue();
      }
    }
  }

  @Test
  void pageExplainsEveryKey() throws Exception {
    String page = Files.readString(PAGE);
    for (SettingSpec<?> spec : ProfileReader.SPECS) {
      assertThat(page).contains("| `" + spec.section() + "." + spec.key() + "` |");
    }
  }

  private static boolean isService(Path file) {
    return List.of("reservas.ini", "meetup-app.ini").contains(file.getFileName().toString());
  }
}
