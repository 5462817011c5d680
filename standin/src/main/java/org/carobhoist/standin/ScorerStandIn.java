package org.carobhoist.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import java.io.IOException;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for the service that scores samples; the score of a sample is its number of tokens. It
 * can fail responses after it has recorded the score.
 */
public final class ScorerStandIn {

  private final StandInServer server =
      new StandInServer(
          sb ->
              sb.service(
                  "/score", (ctx, req) -> HttpResponse.of(req.aggregate().thenApply(this::score))));
  private final Map<String, Double> scores = new ConcurrentHashMap<>();
  private final AtomicInteger responsesToFail = new AtomicInteger();

  /** Response of the scorer. */
  public record ScoreMessage(double score) {}

  /** Starts the stand-in. */
  public void start() {
    server.start();
  }

  /** Stops the stand-in at once. */
  public void stop() {
    server.stop();
  }

  /** Returns the URL for the {@code scorer} key of a profile. */
  public URI uri() {
    return URI.create(server.uri() + "/score");
  }

  /** Fails the next responses with status 503 after the score has been recorded. */
  public void failResponses(int count) {
    responsesToFail.set(count);
  }

  /** Returns the scores by idempotency key; a repeated request adds none. */
  public Map<String, Double> scores() {
    return Map.copyOf(scores);
  }

  private HttpResponse score(AggregatedHttpRequest request) {
    try {
      JsonNode body = StandInServer.JSON.readTree(request.content().array());
      String key = request.headers().get("idempotency-key");
      double score = scores.computeIfAbsent(key, k -> (double) body.path("tokens").size());
      if (responsesToFail.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
        return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
      }
      return StandInServer.json(new ScoreMessage(score));
    } catch (IOException e) {
      return HttpResponse.of(HttpStatus.BAD_REQUEST);
    }
  }
}
