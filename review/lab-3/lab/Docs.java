package lab;

import java.util.List;

/** Manifests and batch jobs of a small deployment. */
final class Docs {

  private Docs() {}

  static String manifest(int version, int maxAttempts, String... models) {
    StringBuilder names = new StringBuilder();
    for (String m : models) {
      names.append(names.length() > 0 ? "," : "").append("{\"name\":\"").append(m).append("\"}");
    }
    return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r1\",\"host\":\"jobs.example\","
        + "\"path_prefix\":\"/lot/\",\"kind\":\"rollout\",\"timeout_ms\":10000,"
        + "\"target_latency_ms\":400,\"priority\":1,\"service\":\"lm\",\"max_attempts\":"
        + maxAttempts + ",\"retention_s\":40.0,\"deadline_ms\":7500,\"single_version\":false,"
        + "\"sticky\":true,\"resumable\":true},"
        + "{\"name\":\"r2\",\"host\":\"jobs.example\",\"path_prefix\":\"/plain/\",\"kind\":"
        + "\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":185,\"priority\":2,"
        + "\"service\":\"app\",\"max_attempts\":2}],"
        + "\"services\":[{\"name\":\"lm\",\"health_path\":\"/health\",\"max_conns\":150,"
        + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":8,\"kv_cache_tokens\":40224,"
        + "\"kv_token_bytes\":18432,\"link_mbps\":2200000.0,\"stride\":60,\"most\":12,"
        + "\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[" + names + "]}},"
        + "{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":96,\"protocol\":\"h1\","
        + "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  static String job(String model, int step, int minVersion, List<String> items, String body) {
    List<String> all = items.stream().map(i -> item(model, i, "/lot/3/" + i, body)).toList();
    return jobOf(model, step, minVersion, String.join(",", all));
  }

  static String jobOf(String model, int step, int minVersion, String items) {
    return "{\"step\":" + step + ",\"model\":\"" + model + "\",\"min_version\":" + minVersion
        + ",\"desired_count\":1,\"items\":[" + items + "]}";
  }

  static String item(String model, String id, String path, String body) {
    return "{\"id\":\"" + id + "\",\"path\":\"" + path
        + "\",\"headers\":{\"Carobhoist-Model\":\"" + model
        + "\",\"Carobhoist-Token-Counts\":\"40,400\",\"Carobhoist-Prompt-Prefix\":\"9c2e41:30,"
        + id + ":10\"},\"body\":\"" + body + "\",\"tokens\":440,\"group\":\"g1\"}";
  }
}
