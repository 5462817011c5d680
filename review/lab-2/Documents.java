/** The manifest of a small deployment, and the jobs of its trainer. */
final class Documents {

  static final String JOBS = "jobs.example";
  static final String APP = "app.example";

  private Documents() {}

  /** Returns a manifest with a route for jobs to "lm" and one of the given kind to "app". */
  static String manifest(long version, String kind) {
    return "{\"version\":" + version + ",\"routes\":["
        + "{\"name\":\"jobs\",\"host\":\"" + JOBS + "\",\"path_prefix\":\"/\",\"kind\":\"rollout\","
        + "\"timeout_ms\":10000,\"service\":\"lm\",\"max_attempts\":3,\"retention_s\":40,"
        + "\"deadline_ms\":12000,\"target_latency_ms\":500,\"priority\":1,\"sticky\":true},"
        + "{\"name\":\"app\",\"host\":\"" + APP + "\",\"path_prefix\":\"/app/\",\"kind\":\"" + kind
        + "\",\"timeout_ms\":3000,\"service\":\"app\",\"max_attempts\":3,"
        + "\"target_latency_ms\":186,\"priority\":2}],"
        + "\"services\":[{\"name\":\"app\",\"health_path\":\"/health\"},{\"name\":\"lm\","
        + "\"health_path\":\"/health\",\"engine\":{\"slots\":8,\"kv_cache_tokens\":41141,"
        + "\"stride\":1,\"models\":[{\"name\":\"m0\"}]}}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  /** Names a version of the model's weights, as its trainer does. */
  static void nameVersion(Store store, long version) {
    store.put("keyed.op", "version/m0", "{\"model\":\"m0\",\"version\":" + version + "}");
    Record.line("version " + version + " of m0 is named");
  }
}
