package org.carobhoist.server.app;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.server.settings.SettingsLoader;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Option;

/** Options for the platform's address and the timeout of its log. */
final class PlatformOptions {

  @ArgGroup(multiplicity = "1")
  private Location location;

  @Option(
      names = "--timeout",
      paramLabel = "SECONDS",
      defaultValue = "60",
      description = "Timeout for the platform's log; default: ${DEFAULT-VALUE}.")
  private int timeoutSeconds;

  private static final class Location {

    @Option(
        names = {"-p", "--platform"},
        paramLabel = "URL",
        description = "Base URL of the platform.")
    private URI url;

    @Option(
        names = {"-s", "--settings"},
        paramLabel = "FILE",
        description = "Settings file of an entry, from which the platform's URL is read.")
    private Path settings;
  }

  URI url() throws SettingsException {
    return location.url != null
        ? location.url
        : SettingsLoader.loadEntry(location.settings).instance().platform();
  }

  Duration timeout() {
    return Duration.ofSeconds(timeoutSeconds);
  }
}
