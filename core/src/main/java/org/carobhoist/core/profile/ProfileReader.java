package org.carobhoist.core.profile;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.Priority;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.limit.TenantPolicy;
import org.carobhoist.core.request.RetryPolicy;
import org.carobhoist.core.rollout.RolloutPolicy;
import org.carobhoist.core.rollout.RolloutPolicy.SwapPolicy;
import org.carobhoist.core.settings.SettingSpec;
import org.carobhoist.core.settings.SettingTypes;
import org.carobhoist.core.settings.SettingsDocument;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.core.settings.SettingsReader;

/** Parses and validates the INI document of a profile. */
public final class ProfileReader {

  private static final SettingSpec<ServiceName> SERVICE =
      SettingTypes.value(
          "profile",
          "service",
          "name of a service",
          null,
          "Service to which the profile applies.",
          ServiceName::new);
  private static final SettingSpec<EndpointKind> KIND =
      SettingTypes.choice(
          "profile",
          "kind",
          EndpointKind.class,
          null,
          "Kind of endpoint that serves the profile: a model engine or a plain service.");
  private static final SettingSpec<Long> MAX_STALENESS =
      SettingTypes.whole(
          "rollout",
          "max-staleness",
          0,
          1_000,
          "1",
          "Maximum number of versions by which a sample may lag behind the trainer at hand-over.");
  private static final SettingSpec<SwapPolicy> SWAP_POLICY =
      SettingTypes.choice(
          "rollout",
          "swap-policy",
          SwapPolicy.class,
          "keep",
          "How to handle a sample in flight when its engine changes its weight version.");
  private static final SettingSpec<Double> IDLE_WEIGHT =
      SettingTypes.decimal(
          "rollout",
          "idle-weight",
          0,
          1,
          "0.5",
          "Trade-off between sample staleness (0) and trainer idle time (1).");
  private static final SettingSpec<Double> MAX_WASTE =
      SettingTypes.decimal(
          "rollout",
          "max-waste",
          0,
          1,
          String.valueOf(RolloutPolicy.DEFAULT_MAX_WASTE),
          "Maximum share of generated tokens that optional cancellations may discard.");
  private static final SettingSpec<Optional<URI>> SCORER =
      SettingTypes.value(
          "rollout",
          "scorer",
          "http or https URL, or none",
          "none",
          "URL of the service that scores each sample before its group is complete.",
          ProfileReader::scorer);
  private static final SettingSpec<Long> MAX_ATTEMPTS =
      SettingTypes.whole(
          "requests",
          "max-attempts",
          1,
          10,
          "3",
          "Maximum number of attempts per request, including the first.");
  private static final SettingSpec<Duration> DEADLINE =
      SettingTypes.duration(
          "requests",
          "deadline",
          Duration.ofMillis(10),
          Duration.ofHours(1),
          "30s",
          "Default deadline of requests whose caller sets none.");
  private static final SettingSpec<Priority> PRIORITY =
      SettingTypes.choice(
          "requests",
          "priority",
          Priority.class,
          "standard",
          "Priority class of the profile's requests in queues.");

  private static final SettingSpec<Double> WEIGHT =
      SettingTypes.decimal(
          "requests",
          "weight",
          0.01,
          100,
          "1",
          "Weight of the share of an endpoint while other profiles of the same class also wait.");
  private static final SettingSpec<Long> QUEUE =
      SettingTypes.whole(
          "requests",
          "queue",
          0,
          100_000,
          "100000",
          "Maximum number of requests queued at one endpoint.");
  private static final SettingSpec<Long> CONCURRENCY =
      SettingTypes.whole(
          "requests",
          "concurrency",
          1,
          100_000,
          "100000",
          "Maximum number of requests running at one endpoint.");

  /** All settings of a profile document. */
  public static final List<SettingSpec<?>> SPECS =
      List.of(
          SERVICE,
          KIND,
          MAX_STALENESS,
          SWAP_POLICY,
          IDLE_WEIGHT,
          MAX_WASTE,
          SCORER,
          MAX_ATTEMPTS,
          DEADLINE,
          PRIORITY,
          WEIGHT,
          QUEUE,
          CONCURRENCY);

  private ProfileReader() {}

  /**
   * Validates a profile document before it is published.
   *
   * @param file file name used in error messages
   * @throws SettingsException if the document is invalid
   */
  public static void check(ProfileName name, String file, String document)
      throws SettingsException {
    read(name, SettingsReader.read(file, document, SPECS));
  }

  /**
   * Parses a profile document.
   *
   * @throws SettingsException if the document is invalid
   */
  public static Profile read(ProfileName name, String document) throws SettingsException {
    return read(name, SettingsReader.read(name.value(), document, SPECS));
  }

  private static Profile read(ProfileName name, SettingsDocument doc) {
    return new Profile(
        name,
        doc.get(SERVICE),
        doc.get(KIND),
        new RolloutPolicy(
            doc.get(MAX_STALENESS),
            doc.get(SWAP_POLICY),
            doc.get(IDLE_WEIGHT),
            doc.get(MAX_WASTE),
            doc.get(SCORER)),
        new RetryPolicy(doc.get(MAX_ATTEMPTS).intValue()),
        doc.get(DEADLINE),
        doc.get(PRIORITY),
        new TenantPolicy(
            doc.get(WEIGHT), doc.get(QUEUE).intValue(), doc.get(CONCURRENCY).intValue()));
  }

  private static Optional<URI> scorer(String text) {
    if (text.equals("none")) {
      return Optional.empty();
    }
    URI uri = URI.create(text);
    if (uri.getHost() == null || !uri.toString().matches("https?://.+")) {
      throw new IllegalArgumentException("not an http or https URL");
    }
    return Optional.of(uri);
  }
}
