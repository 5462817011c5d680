import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;

/** Batch jobs of the trainer of "m0". */
final class Jobs {

  private Jobs() {}

  static byte[] body(int items, int bytesOfItem) {
    String body = Base64.getEncoder().encodeToString(new byte[bytesOfItem]);
    StringBuilder out = new StringBuilder();
    for (int i = 0; i < items; i++) {
      out.append(i > 0 ? "," : "")
          .append("{\"id\":\"item" + i + "\",\"path\":\"/steps/1/" + i + "\",\"headers\":{")
          .append("\"Carobhoist-Model\":\"m0\",\"Carobhoist-Token-Counts\":\"16,255\"},")
          .append("\"body\":\"" + body + "\",\"tokens\":271,\"group\":\"g" + i / 8 + "\"}");
    }
    String head = "{\"step\":1,\"model\":\"m0\",\"min_version\":1,\"desired_count\":1,\"items\":[";
    return (head + out + "]}").getBytes(StandardCharsets.US_ASCII);
  }

  static Map<String, String> headers(String id) {
    return Map.of(
        "Host", Documents.JOBS,
        "Carobhoist-Request-Id", id,
        "Carobhoist-Deadline-Ms", "8000",
        "Content-Type", "application/json");
  }
}
