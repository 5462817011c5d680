package org.carobhoist.core.settings;

import java.net.URI;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Factory methods for the {@link SettingSpec}s of common types. */
public final class SettingTypes {

  private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h)");
  private static final int MAX_PORT = 65_535;

  private SettingTypes() {}

  /** Returns the spec of an integer from {@code min} to {@code max}. */
  public static SettingSpec<Long> whole(
      String section, String key, long min, long max, String fallback, String effect) {
    return spec(
        section,
        key,
        "whole number from " + min + " to " + max,
        fallback,
        effect,
        text -> inRange(Long.parseLong(text), min, max));
  }

  /** Returns the spec of a decimal number from {@code min} to {@code max}. */
  public static SettingSpec<Double> decimal(
      String section, String key, double min, double max, String fallback, String effect) {
    return spec(
        section,
        key,
        "number from " + min + " to " + max,
        fallback,
        effect,
        text -> inRange(Double.parseDouble(text), min, max));
  }

  /** Returns the spec of a duration such as {@code 250ms}, {@code 12s} or {@code 9m}. */
  public static SettingSpec<Duration> duration(
      String section, String key, Duration min, Duration max, String fallback, String effect) {
    return spec(
        section,
        key,
        "duration (ms, s, m or h) from " + format(min) + " to " + format(max),
        fallback,
        effect,
        text -> inRange(parseDuration(text), min, max));
  }

  /** Returns the spec of an enum constant, written in lower case with hyphens. */
  public static <E extends Enum<E>> SettingSpec<E> choice(
      String section, String key, Class<E> type, String fallback, String effect) {
    List<String> names = Arrays.stream(type.getEnumConstants()).map(SettingTypes::format).toList();
    return spec(
        section,
        key,
        "one of " + String.join(", ", names),
        fallback,
        effect,
        text -> type.getEnumConstants()[indexOf(names, text)]);
  }

  /** Returns the spec of a boolean, {@code true} or {@code false}. */
  public static SettingSpec<Boolean> flag(
      String section, String key, String fallback, String effect) {
    return spec(
        section,
        key,
        "true or false",
        fallback,
        effect,
        text -> indexOf(List.of("false", "true"), text) == 1);
  }

  /** Returns the spec of an id or another value that its parser validates. */
  public static <T> SettingSpec<T> value(
      String section,
      String key,
      String range,
      String fallback,
      String effect,
      Function<String, T> parser) {
    return spec(section, key, range, fallback, effect, parser);
  }

  /** Returns the spec of an IPv4 address and port, such as {@code 10.0.0.7:8080}. */
  public static SettingSpec<SocketAddressText> address(
      String section, String key, String fallback, String effect) {
    return spec(
        section,
        key,
        "IP number and port (0 to " + MAX_PORT + "), such as 10.0.0.7:8080",
        fallback,
        effect,
        SocketAddressText::parse);
  }

  /** Returns the spec of an {@code http} or {@code https} URL. */
  public static SettingSpec<URI> url(String section, String key, String fallback, String effect) {
    return spec(section, key, "http or https URL", fallback, effect, SettingTypes::parseUrl);
  }

  /** Returns the spec of a comma-separated list; an empty text is an empty list. */
  public static <T> SettingSpec<List<T>> list(
      String section,
      String key,
      String range,
      String fallback,
      String effect,
      Function<String, T> parser) {
    return spec(
        section,
        key,
        "comma-separated list of: " + range,
        fallback,
        effect,
        text ->
            Arrays.stream(text.split(","))
                .map(String::trim)
                .filter(part -> !part.isEmpty())
                .map(parser)
                .collect(Collectors.toUnmodifiableList()));
  }

  /** Formats a duration the way settings write it. */
  public static String format(Duration value) {
    long millis = value.toMillis();
    if (millis % 1000 != 0 || millis == 0) {
      return millis + "ms";
    }
    return value.toMinutes() * 60_000 == millis ? value.toMinutes() + "m" : value.toSeconds() + "s";
  }

  private static String format(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static <T> SettingSpec<T> spec(
      String section,
      String key,
      String range,
      String fallback,
      String effect,
      Function<String, T> parser) {
    return new SettingSpec<>(section, key, range, Optional.ofNullable(fallback), effect, parser);
  }

  private static <T extends Comparable<T>> T inRange(T value, T min, T max) {
    if (value.compareTo(min) < 0 || value.compareTo(max) > 0) {
      throw new IllegalArgumentException("out of range");
    }
    return value;
  }

  private static Duration parseDuration(String text) {
    Matcher m = DURATION.matcher(text);
    if (!m.matches()) {
      throw new IllegalArgumentException("not a duration");
    }
    long n = Long.parseLong(m.group(1));
    return switch (m.group(2)) {
      case "ms" -> Duration.ofMillis(n);
      case "s" -> Duration.ofSeconds(n);
      case "m" -> Duration.ofMinutes(n);
      default -> Duration.ofHours(n);
    };
  }

  private static URI parseUrl(String text) {
    URI uri = URI.create(text);
    if (uri.getHost() == null || !List.of("http", "https").contains(uri.getScheme())) {
      throw new IllegalArgumentException("not an http or https URL");
    }
    return uri;
  }

  private static int indexOf(List<String> names, String text) {
    int i = names.indexOf(text);
    if (i < 0) {
      throw new IllegalArgumentException("unknown choice");
    }
    return i;
  }
}
