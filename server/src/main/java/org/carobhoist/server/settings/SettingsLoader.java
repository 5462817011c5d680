package org.carobhoist.server.settings;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.limit.LimitPolicy;
import org.carobhoist.core.settings.SettingSpec;
import org.carobhoist.core.settings.SettingTypes;
import org.carobhoist.core.settings.SettingsDocument;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.core.settings.SettingsProblem;
import org.carobhoist.core.settings.SettingsReader;
import org.carobhoist.core.settings.SocketAddressText;

/** Reads the settings file of a role. */
public final class SettingsLoader {

  private static final SettingSpec<InstanceId> ID =
      SettingTypes.value(
          "instance",
          "id",
          "1 to 128 letters, digits, dots, colons, slashes, underscores or hyphens",
          null,
          "Identity of the instance; stable across restarts.",
          InstanceId::new);
  private static final SettingSpec<Zone> ZONE =
      SettingTypes.value(
          "instance", "zone", "name of a zone", null, "Availability zone.", Zone::new);
  private static final SettingSpec<SocketAddressText> HTTP =
      SettingTypes.address(
          "instance", "http", null, "Address for callers, health, metrics and state dumps.");
  private static final SettingSpec<SocketAddressText> LINK =
      SettingTypes.address(
          "instance", "link", null, "Address on which links of other processes are accepted.");
  private static final SettingSpec<URI> PLATFORM =
      SettingTypes.url("platform", "url", null, "Base URL of the platform's services.");
  private static final SettingSpec<LogLevel> LOG_LEVEL =
      SettingTypes.choice(
          "log", "level", LogLevel.class, "info", "Minimum severity of logged events.");
  private static final SettingSpec<ServiceName> SERVICE =
      SettingTypes.value(
          "endpoint",
          "service",
          "name of a service",
          null,
          "Service that the endpoint serves.",
          ServiceName::new);
  private static final SettingSpec<EndpointKind> KIND =
      SettingTypes.choice(
          "endpoint", "kind", EndpointKind.class, null, "Model engine or plain service.");
  private static final SettingSpec<URI> URL =
      SettingTypes.url("endpoint", "url", null, "Base URL of the endpoint.");
  private static final SettingSpec<Long> LIMIT =
      SettingTypes.whole("limits", "concurrency", 1, 10_000, "32", "Initial concurrency limit.");
  private static final SettingSpec<Long> LIMIT_MIN =
      SettingTypes.whole("limits", "concurrency-min", 1, 10_000, "1", "Minimum concurrency limit.");
  private static final SettingSpec<Long> LIMIT_MAX =
      SettingTypes.whole(
          "limits", "concurrency-max", 1, 10_000, "256", "Maximum concurrency limit.");
  private static final SettingSpec<Long> QUEUE =
      SettingTypes.whole(
          "limits", "queue", 0, 100_000, "256", "Maximum number of queued requests.");
  private static final SettingSpec<Duration> QUEUE_TIME =
      SettingTypes.duration(
          "limits",
          "queue-time",
          Duration.ofMillis(1),
          Duration.ofHours(1),
          "10s",
          "Maximum queueing time of a request without a deadline.");

  /** Keys common to all roles. */
  private static final List<SettingSpec<?>> COMMON =
      List.of(ID, ZONE, HTTP, LINK, PLATFORM, LOG_LEVEL);

  /** All keys of an entry's settings. */
  public static final List<SettingSpec<?>> ENTRY_SPECS = COMMON;

  /** All keys of a sidecar's settings. */
  public static final List<SettingSpec<?>> SIDECAR_SPECS =
      Stream.concat(
              COMMON.stream(),
              Stream.of(SERVICE, KIND, URL, LIMIT, LIMIT_MIN, LIMIT_MAX, QUEUE, QUEUE_TIME))
          .toList();

  private SettingsLoader() {}

  /**
   * Reads an entry's settings.
   *
   * @throws SettingsException if the file can't be read or is invalid
   */
  public static EntrySettings loadEntry(Path file) throws SettingsException {
    return parseEntry(file.toString(), readText(file));
  }

  /**
   * Reads a sidecar's settings.
   *
   * @throws SettingsException if the file can't be read or is invalid
   */
  public static SidecarSettings loadSidecar(Path file) throws SettingsException {
    return parseSidecar(file.toString(), readText(file));
  }

  /**
   * Reads an entry's settings from a string.
   *
   * @throws SettingsException if the settings are invalid
   */
  public static EntrySettings parseEntry(String file, String text) throws SettingsException {
    return new EntrySettings(common(SettingsReader.read(file, text, ENTRY_SPECS)));
  }

  /**
   * Reads a sidecar's settings from a string.
   *
   * @throws SettingsException if the settings are invalid
   */
  public static SidecarSettings parseSidecar(String file, String text) throws SettingsException {
    SettingsDocument doc = SettingsReader.read(file, text, SIDECAR_SPECS);
    return new SidecarSettings(
        common(doc),
        new EndpointSettings(doc.get(SERVICE), doc.get(KIND), doc.get(URL)),
        limits(doc));
  }

  private static LimitPolicy limits(SettingsDocument doc) throws SettingsException {
    int min = doc.get(LIMIT_MIN).intValue();
    int max = doc.get(LIMIT_MAX).intValue();
    int initial = doc.get(LIMIT).intValue();
    if (min > max || initial < min || initial > max) {
      throw new SettingsException(
          List.of(
              new SettingsProblem(
                  doc.file(),
                  "limits",
                  "concurrency",
                  Integer.toString(initial),
                  "must lie between concurrency-min ("
                      + min
                      + ") and concurrency-max ("
                      + max
                      + ")")));
    }
    return new LimitPolicy(initial, min, max, doc.get(QUEUE).intValue(), doc.get(QUEUE_TIME));
  }

  private static InstanceSettings common(SettingsDocument doc) {
    return new InstanceSettings(
        doc.get(ID),
        doc.get(ZONE),
        doc.get(HTTP),
        doc.get(LINK),
        doc.get(PLATFORM),
        doc.get(LOG_LEVEL));
  }

  private static String readText(Path file) throws SettingsException {
    try {
      return Files.readString(file, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new SettingsException(
          List.of(new SettingsProblem(file.toString(), "", "", "", "can't be read")));
    }
  }
}
