package org.carobhoist.trainer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Fetches pages of a step from any of the entry instances. After a failed request the next one goes
 * to the next instance. This neither loses nor duplicates samples, since the cursor decides which
 * pages are accepted.
 */
public final class TrainerClient {

  private static final Duration RESPONSE_TIMEOUT_SLACK = Duration.ofSeconds(10);

  private final List<WebClient> entries;
  private final ObjectMapper json = new ObjectMapper();
  private int next;

  private TrainerClient(List<WebClient> entries) {
    this.entries = entries;
  }

  /** Returns a client of the given entry instances; at least one is required. */
  public static TrainerClient create(List<URI> entries) {
    return new TrainerClient(
        entries.stream()
            .map(
                uri -> WebClient.builder(uri).maxResponseLength(0).responseTimeoutMillis(0).build())
            .toList());
  }

  /**
   * Sends one request for a step and offers its page to the session.
   *
   * @return the number of new groups; 0 if the page was dropped or the request failed
   */
  public CompletableFuture<Integer> poll(StepSession session, Duration wait) {
    WebClient entry = entries.get(next);
    StepRequestMessage message = session.nextRequest(wait.toMillis());
    return entry
        .execute(toHttpRequest(message))
        .aggregate()
        .orTimeout(
            wait.plus(RESPONSE_TIMEOUT_SLACK).toMillis(),
            java.util.concurrent.TimeUnit.MILLISECONDS)
        .thenApply(response -> acceptPage(session, response))
        .exceptionally(failure -> failOver());
  }

  /**
   * Reports that a step is complete, so that its samples are discarded at once. If this request is
   * lost, they expire later.
   */
  public CompletableFuture<Void> finish(StepSession session) {
    return poll(session, Duration.ZERO).thenApply(count -> null);
  }

  private HttpRequest toHttpRequest(StepRequestMessage message) {
    try {
      return HttpRequest.of(
          HttpMethod.POST, "/v1/steps", MediaType.JSON, json.writeValueAsString(message));
    } catch (JsonProcessingException e) {
      throw new CompletionException(e);
    }
  }

  private int acceptPage(StepSession session, AggregatedHttpResponse response) {
    if (!response.status().equals(HttpStatus.OK)) {
      return failOver();
    }
    try {
      StepPageMessage page = json.readValue(response.contentUtf8(), StepPageMessage.class);
      return session.offer(page).map(List::size).orElse(0);
    } catch (JsonProcessingException e) {
      return failOver();
    }
  }

  private int failOver() {
    next = (next + 1) % entries.size();
    return 0;
  }
}
