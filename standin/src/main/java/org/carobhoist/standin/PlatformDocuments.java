package org.carobhoist.standin;

import java.time.Duration;
import java.util.Arrays;
import java.util.stream.Collectors;

/** Manifests, jobs, boot files and registry entries of a small installation of the platform. */
public final class PlatformDocuments {

  /** Host name of the route for jobs. */
  public static final String JOBS_HOST = "jobs.example";

  /** Host name of the route for jobs whose texts need a single weight version. */
  public static final String SINGLE_VERSION_HOST = "single.example";

  /** Host name of the route for bookings. */
  public static final String BOOKINGS_HOST = "book.example";

  /** Maximum size of a request body that the manifest allows. */
  public static final int MAX_BODY_BYTES = 2_000_000;

  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(3);

  private static final String MANIFEST =
      "{\"version\":VERSION,\"routes\":["
          + "{\"name\":\"jobs\",\"host\":\"jobs.example\",\"path_prefix\":\"/\","
          + "\"kind\":\"rollout\","
          + "\"timeout_ms\":10000,\"service\":\"lm\",\"max_attempts\":2,\"retention_s\":40,"
          + "\"deadline_ms\":7500},"
          + "{\"name\":\"single\",\"host\":\"single.example\",\"path_prefix\":\"/\","
          + "\"kind\":\"rollout\",\"single_version\":true,"
          + "\"timeout_ms\":10000,\"service\":\"lm\",\"max_attempts\":2,\"retention_s\":40,"
          + "\"deadline_ms\":7500},"
          + "{\"name\":\"book\",\"host\":\"book.example\",\"path_prefix\":\"/\",\"kind\":\"KIND\","
          + "\"timeout_ms\":TIMEOUT,\"service\":\"app\",\"max_attempts\":2}],"
          + "\"services\":[{\"name\":\"app\"},{\"name\":\"lm\",\"engine\":{\"slots\":8,"
          + "\"kv_cache_tokens\":100000,\"stride\":1,"
          + "\"models\":[{\"name\":\"m0\"},{\"name\":\"m1\"}]}}],"
          + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
          + MAX_BODY_BYTES
          + ","
          + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

  private PlatformDocuments() {}

  /**
   * Returns a manifest with a route for jobs to the engines "lm" and one for bookings to "app".
   *
   * @param kind the kind of the route for bookings
   */
  public static String manifest(long version, String kind) {
    return manifest(version, kind, DEFAULT_TIMEOUT);
  }

  /**
   * Returns a manifest as {@link #manifest(long, String)} does.
   *
   * @param timeout timeout of the route for bookings
   */
  public static String manifest(long version, String kind, Duration timeout) {
    return MANIFEST
        .replace("VERSION", Long.toString(version))
        .replace("KIND", kind)
        .replace("TIMEOUT", Long.toString(timeout.toMillis()));
  }

  /** Returns a job of items with the given ids for the model "m0". */
  public static String job(int minVersion, String... items) {
    return jobForModel("m0", minVersion, items);
  }

  /** Returns a job of items with the given ids for a model, "m0" or "m1". */
  public static String jobForModel(String model, int minVersion, String... items) {
    return "{\"step\":0,\"model\":\""
        + model
        + "\",\"min_version\":"
        + minVersion
        + ",\"desired_count\":1,\"items\":["
        + Arrays.stream(items).map(id -> item(model, id)).collect(Collectors.joining(","))
        + "]}";
  }

  /**
   * Returns the boot file of an entry that listens on the loopback address.
   *
   * @param front port for client requests
   * @param ready port for readiness checks
   * @param peers first of two consecutive internal ports
   * @param store address of the store
   */
  public static String bootFile(String node, int front, int ready, int peers, String store) {
    return String.join(
        "\n",
        "node=" + node,
        "zone=a",
        "ip=127.0.0.1",
        "listen.front=127.0.0.1:" + front,
        "listen.ready=127.0.0.1:" + ready,
        "internal_ports=" + peers + "," + (peers + 1),
        "bounds.drain_ms=2000",
        "bounds.grace_s=8",
        "bounds.lease_ms=3000",
        "bounds.status_ttl_s=120",
        "bounds.settle_ms=1000",
        "bounds.cancel_ms=3000",
        "platform.address=" + store,
        "");
  }

  /**
   * Returns the entry that a server writes to the registry topic of the store.
   *
   * @param models further JSON fields, with a leading comma; empty for a plain service
   */
  public static String serverEntry(
      String service, String address, String zone, String state, long sequence, String models) {
    return "{\"service\":\""
        + service
        + "\",\"address\":\""
        + address
        + "\",\"zone\":\""
        + zone
        + "\",\"slots\":8,\"born\":1,\"state\":\""
        + state
        + "\",\"sequence\":"
        + sequence
        + models
        + "}";
  }

  /**
   * Returns a job for the model "m0" whose items are scored by the service behind {@link
   * #BOOKINGS_HOST}. The scorer of item "a" has the id "score-a" and the path "/score/a".
   */
  public static String scoredJob(int minVersion, String... items) {
    return scoredJob(minVersion, "score-", items);
  }

  /** Returns a job like {@link #scoredJob(int, String...)} with another prefix of scorer ids. */
  public static String scoredJob(int minVersion, String scorerPrefix, String[] items) {
    String job = job(minVersion, items);
    for (String id : items) {
      String scorer =
          "\"scorer\":{\"id\":\""
              + scorerPrefix
              + id
              + "\",\"host\":\""
              + BOOKINGS_HOST
              + "\",\"path\":\"/score/"
              + id
              + "\",\"body\":\"q83v\"},";
      job =
          job.replace(
              "{\"id\":\"" + id + "\",\"path\"", "{" + scorer + "\"id\":\"" + id + "\",\"path\"");
    }
    return job;
  }

  private static String item(String model, String id) {
    return "{\"id\":\""
        + id
        + "\",\"path\":\"/run/"
        + id
        + "\",\"headers\":{\"Carobhoist-Model\":\""
        + model
        + "\"},\"body\":\"q83v\",\"tokens\":40,"
        + "\"group\":\"g\"}";
  }
}
