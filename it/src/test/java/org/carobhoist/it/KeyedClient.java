package org.carobhoist.it;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.client.WebClientRequestPreparation;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.MediaType;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.idempotency.IdempotencyKey;

/** Client that sends bookings with idempotency keys. */
final class KeyedClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final TestCluster cluster;

  KeyedClient(TestCluster cluster) {
    this.cluster = cluster;
  }

  /** Creates a key as a caller does by itself, with the given creation time. */
  static String callerKey(Instant creationTime) {
    return IdempotencyKey.mint(creationTime, new Random()).toString();
  }

  /** Returns a key issued by an entry. */
  String issuedKey(String entry) throws IOException {
    AggregatedHttpResponse response =
        WebClient.of(cluster.http(entry))
            .post("/v1/keys?service=reservas&count=3", "")
            .aggregate()
            .join();
    return new ObjectMapper().readTree(response.contentUtf8()).at("/keys/0").asText();
  }

  CompletableFuture<AggregatedHttpResponse> send(
      String entry, String key, String body, Duration deadline) {
    WebClientRequestPreparation request =
        WebClient.builder(cluster.http(entry))
            .responseTimeout(TIMEOUT.multipliedBy(2))
            .build()
            .prepare()
            .post("/v1/services/reservas/bookings")
            .header("carobhoist-deadline-ms", Long.toString(deadline.toMillis()))
            .content(MediaType.PLAIN_TEXT_UTF_8, body);
    if (!key.isEmpty()) {
      request.header("idempotency-key", key);
    }
    return request.execute().aggregate();
  }

  /** Sends a booking and waits for the response; an empty key omits the header. */
  AggregatedHttpResponse book(String entry, String key, String body) {
    return send(entry, key, body, TIMEOUT).join();
  }

  static String verdict(AggregatedHttpResponse response) {
    return response.headers().get("carobhoist-verdict", "none");
  }
}
