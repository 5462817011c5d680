package org.carobhoist.server.logservice;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.carobhoist.core.rollout.AttemptKey;
import org.carobhoist.core.rollout.FinishedSample;
import org.carobhoist.server.runtime.SingleUseConnections;

/**
 * Calls a scorer with {@code POST} requests, with one {@code Idempotency-Key} per attempt.
 * Responses of scorers bear no id, so each request has a connection of its own: on a shared one, a
 * late second response would pass for the score of the next sample.
 */
public final class HttpScorer implements Scorer {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final WebClient client;
  private final String path;

  private record ScoreRequest(String prompt, String text, List<Integer> tokens) {}

  private HttpScorer(WebClient client, String path) {
    this.client = client;
    this.path = path;
  }

  /** Creates a client for the scorer at a URL. */
  public static HttpScorer at(URI url) {
    String path = url.getRawPath().isEmpty() ? "/" : url.getRawPath();
    WebClient client =
        WebClient.builder(url.getScheme() + "://" + url.getAuthority())
            .factory(SingleUseConnections.factory())
            .build();
    return new HttpScorer(client, path);
  }

  @Override
  public CompletableFuture<Double> score(String prompt, FinishedSample sample) {
    RequestHeaders headers =
        RequestHeaders.builder(HttpMethod.POST, path)
            .contentType(MediaType.JSON)
            .add("idempotency-key", key(sample.attempt()))
            .build();
    return client
        .execute(HttpRequest.of(headers, HttpData.wrap(body(prompt, sample))))
        .aggregate()
        .thenApply(HttpScorer::parseScore);
  }

  private static String key(AttemptKey a) {
    return String.join(
        "/",
        a.sample().step().profile().value(),
        a.sample().step().trainer().value(),
        a.sample().step().step().value(),
        String.valueOf(a.sample().group()),
        String.valueOf(a.sample().index()),
        String.valueOf(a.number()));
  }

  private static byte[] body(String prompt, FinishedSample sample) {
    try {
      return JSON.writeValueAsBytes(new ScoreRequest(prompt, sample.text(), sample.tokens()));
    } catch (IOException e) {
      throw new CompletionException(e);
    }
  }

  private static double parseScore(AggregatedHttpResponse response) {
    try {
      JsonNode score = JSON.readTree(response.contentUtf8()).path("score");
      if (!response.status().equals(HttpStatus.OK) || !score.isNumber()) {
        throw new CompletionException(new IOException("scorer answered " + response.status()));
      }
      return score.asDouble();
    } catch (IOException e) {
      throw new CompletionException(e);
    }
  }
}
