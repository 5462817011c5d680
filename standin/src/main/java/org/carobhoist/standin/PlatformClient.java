package org.carobhoist.standin;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** Client of one local gateway entry that sends bookings, as users do, and jobs, as trainers do. */
public final class PlatformClient {

  private static final String DEADLINE_MILLIS = "10000";
  private static final String MAX_WAIT_MILLIS = "500";

  private final WebClient client;
  private final AtomicInteger requestCount = new AtomicInteger();

  private PlatformClient(WebClient client) {
    this.client = client;
  }

  /**
   * Creates a client of the entry that listens on a loopback port.
   *
   * @param limit response timeout
   */
  public static PlatformClient of(int port, Duration limit) {
    return new PlatformClient(
        WebClient.builder("h1c://127.0.0.1:" + port).responseTimeout(limit).build());
  }

  /** Sends a request with the given id. */
  public CompletableFuture<AggregatedHttpResponse> send(
      HttpMethod method, String host, String path, String body, String id) {
    RequestHeaders headers =
        RequestHeaders.builder(method, path)
            .authority(host)
            .add("carobhoist-request-id", id)
            .add("carobhoist-deadline-ms", DEADLINE_MILLIS)
            .add("carobhoist-wait-ms", MAX_WAIT_MILLIS)
            .build();
    return send(headers, body);
  }

  /** Sends a request with the given headers. */
  public CompletableFuture<AggregatedHttpResponse> send(RequestHeaders headers, String body) {
    return client.execute(HttpRequest.of(headers, HttpData.ofUtf8(body))).aggregate();
  }

  /** Returns the response of the entry's readiness check. */
  public AggregatedHttpResponse ready() {
    return get("/-/ready");
  }

  /** Sends a booking with the given body. */
  public AggregatedHttpResponse book(String body) {
    return send(HttpMethod.POST, PlatformDocuments.BOOKINGS_HOST, "/seat", body, nextId()).join();
  }

  /** Submits a job. */
  public AggregatedHttpResponse submit(String job, String content) {
    return send(HttpMethod.POST, PlatformDocuments.JOBS_HOST, "/j", content, job).join();
  }

  /** Reads all results of a job that are listed so far. */
  public AggregatedHttpResponse results(String job) {
    return get("/-/lots/" + job + "?after=0");
  }

  /** Reads the body of an item. */
  public AggregatedHttpResponse item(String job, String item) {
    return get("/-/items/" + job + "?id=" + item);
  }

  /** Ends a job with a DELETE request. */
  public AggregatedHttpResponse endJob(String job) {
    return send(HttpMethod.DELETE, PlatformDocuments.JOBS_HOST, "/-/lots/" + job, "", nextId())
        .join();
  }

  private AggregatedHttpResponse get(String path) {
    return send(HttpMethod.GET, PlatformDocuments.JOBS_HOST, path, "", nextId()).join();
  }

  private String nextId() {
    return "caller-" + requestCount.incrementAndGet();
  }
}
