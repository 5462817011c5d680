package org.carobhoist.server.demo;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.stream.ClosedStreamException;
import com.linecorp.armeria.common.util.Exceptions;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.server.entry.CarobhoistHeaders;

/**
 * Generates the callers' load: bookings, which must not run twice, and completion requests to the
 * model. Requests are sent at a fixed rate, whether or not earlier ones have been answered. Each
 * booking has a unique body, so that a response to another booking is detected.
 */
final class CallerLoad {

  private static final Duration PERIOD = Duration.ofMillis(20);
  private static final int BOOKINGS_PER_COMPLETION = 3;
  private static final Duration DEADLINE = Duration.ofSeconds(4);
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(8);
  private static final int MIN_TOKENS = 8;
  private static final int MAX_TOKENS = 64;
  private static final Pattern TOKEN_LIST = Pattern.compile("\"tokens\":\\[([^\\]]*)\\]");

  private final List<WebClient> entries;
  private final SplittableRandom random;
  private final RequestTally tally;
  private final Map<String, Verdict> bookings = new ConcurrentHashMap<>();
  private final Map<Integer, CompletableFuture<Void>> inFlight = new ConcurrentHashMap<>();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private int sentCount;

  CallerLoad(List<URI> entries, SplittableRandom random, RequestTally tally) {
    this.entries =
        entries.stream()
            .map(u -> WebClient.builder(u).responseTimeout(RESPONSE_TIMEOUT).build())
            .toList();
    this.random = random;
    this.tally = tally;
  }

  void start() {
    timer.scheduleAtFixedRate(this::sendNext, 0, PERIOD.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Stops sending, waits for the responses, and compares each verdict with the number of runs. */
  void stop(DemoCluster cluster) throws InterruptedException {
    timer.shutdown();
    timer.awaitTermination(RESPONSE_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    CompletableFuture.allOf(inFlight.values().toArray(CompletableFuture[]::new)).join();
    bookings.forEach((body, verdict) -> tally.onRuns(verdict, cluster.runs(body)));
  }

  private void sendNext() {
    int number = ++sentCount;
    WebClient entry = entries.get(number % entries.size());
    tally.onSent();
    CompletableFuture<Void> answered =
        number % (BOOKINGS_PER_COMPLETION + 1) == 0
            ? sendCompletion(entry)
            : sendBooking(entry, number);
    inFlight.put(number, answered);
    answered.whenComplete((ok, failure) -> inFlight.remove(number));
  }

  private CompletableFuture<Void> sendBooking(WebClient entry, int number) {
    String body = "bench " + number % 7 + ", guest " + number;
    String path = "/v1/services/" + DemoCluster.BOOKINGS + "/bookings";
    return send(
        entry,
        request(path, MediaType.PLAIN_TEXT_UTF_8, body),
        response -> {
          bookings.put(body, verdict(response));
          tally.onResponse(verdict(response), response.contentUtf8().equals("done " + body));
        });
  }

  private CompletableFuture<Void> sendCompletion(WebClient entry) {
    int tokens = random.nextInt(MIN_TOKENS, MAX_TOKENS);
    String body =
        "{\"model\":\"%s\",\"prompt\":\"Is the kiln cool?\",\"max_tokens\":%d,\"stream\":true}"
            .formatted(DemoCluster.MODEL, tokens);
    return send(
        entry,
        request("/v1/completions", MediaType.JSON, body),
        response -> tally.onResponse(verdict(response), isWhole(response.contentUtf8(), tokens)));
  }

  private CompletableFuture<Void> send(
      WebClient entry, HttpRequest request, Consumer<AggregatedHttpResponse> onResponse) {
    return entry
        .execute(request)
        .aggregate()
        .thenAccept(onResponse)
        .exceptionally(
            failure -> {
              onFailure(Exceptions.peel(failure));
              return null;
            });
  }

  /** An entry that fails after it has started a response resets the stream, which isn't a loss. */
  private void onFailure(Throwable failure) {
    if (failure instanceof ClosedStreamException) {
      tally.onTruncated();
    } else {
      tally.onNoResponse(failure);
    }
  }

  private static HttpRequest request(String path, MediaType type, String body) {
    RequestHeaders headers =
        RequestHeaders.builder(HttpMethod.POST, path)
            .contentType(type)
            .add(CarobhoistHeaders.DEADLINE_MILLIS, Long.toString(DEADLINE.toMillis()))
            .build();
    return HttpRequest.of(headers, HttpData.ofUtf8(body));
  }

  private static Verdict verdict(AggregatedHttpResponse response) {
    return Verdict.valueOf(response.headers().get(CarobhoistHeaders.VERDICT));
  }

  private static boolean isWhole(String stream, int tokens) {
    long found =
        TOKEN_LIST
            .matcher(stream)
            .results()
            .map(m -> m.group(1))
            .filter(list -> !list.isEmpty())
            .mapToLong(list -> list.split(",").length)
            .sum();
    return found == tokens && stream.endsWith("data: [DONE]\n\n");
  }
}
