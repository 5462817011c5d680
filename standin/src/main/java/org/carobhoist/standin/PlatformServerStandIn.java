package org.carobhoist.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Stand-in for a server of the users' platform: either a plain service that echoes request bodies,
 * or an engine that streams events, resumes streams, and accepts orders to load weights.
 */
public final class PlatformServerStandIn {

  private static final String REQUEST_ID = "carobhoist-request-id";
  private static final String EXPECTED_INSTANCE = "carobhoist-expect-instance";
  private static final String MODEL = "carobhoist-model";
  private static final String WEIGHT_VERSIONS = "carobhoist-weight-versions";

  private final String instance;
  private final boolean engine;
  private final StandInServer server = new StandInServer(this::routes);
  private final List<String> runs = new ArrayList<>();
  private final List<RequestHeaders> received = new ArrayList<>();
  private final Map<String, Integer> lastSent = new HashMap<>();
  private long eventMillis = 5;
  private int eventCount = 4;
  private final Map<String, Long> versions = new TreeMap<>(Map.of("m0", 1L, "m1", 1L));
  private long acceptedOrders;
  private long highestFence;
  private int conflicts;
  private int abortAfterEvents = -1;
  private int forcedStatus;
  private boolean leaving;
  private String failingPathPrefix = "";
  private long responseDelayMillis;

  /**
   * Creates a server.
   *
   * @param engine whether the server is an engine rather than a plain service
   */
  public PlatformServerStandIn(String instance, boolean engine) {
    this.instance = instance;
    this.engine = engine;
  }

  /** Starts the stand-in. */
  public void start() {
    server.start();
  }

  /** Stops the stand-in. */
  public void stop() {
    server.stop();
  }

  /** Returns the name of the instance. */
  public String instance() {
    return instance;
  }

  /** Returns the entry that the server writes to the registry topic of the store. */
  public String entry(String service, String zone, String state, long sequence) {
    String models = engine ? ",\"models\":" + models() : "";
    String address = server.uri().getAuthority();
    return PlatformDocuments.serverEntry(service, address, zone, state, sequence, models);
  }

  /** Sets the number of events in each stream and the time between two of them. */
  public synchronized void setEvents(int count, long millis) {
    eventCount = count;
    eventMillis = millis;
  }

  /** Aborts the next stream after the given number of events. */
  public synchronized void abortNextStreamAfter(int count) {
    abortAfterEvents = count;
  }

  /** Responds to every request with a status instead of running it; 0 disables this. */
  public synchronized void setForcedStatus(int status) {
    forcedStatus = status;
  }

  /** Sets whether every response announces that the server is leaving. */
  public synchronized void setLeaving(boolean value) {
    leaving = value;
  }

  /** Fails requests with status 500 if their path has the given prefix; none if it is empty. */
  public synchronized void failPathsWithPrefix(String pathPrefix) {
    failingPathPrefix = pathPrefix;
  }

  /** Sets the time after which a plain service responds. */
  public synchronized void setResponseDelay(long millis) {
    responseDelayMillis = millis;
  }

  /** Returns the requests that ran, oldest first, as {@code ID from FIRST_EVENT}. */
  public synchronized List<String> runs() {
    return List.copyOf(runs);
  }

  /** Returns the headers of the requests with the given id that ran, oldest first. */
  public synchronized List<RequestHeaders> received(String id) {
    return received.stream().filter(h -> h.get(REQUEST_ID, "").equals(id)).toList();
  }

  /** Returns the number of the last event sent for an item; 0 if none was. */
  public synchronized int lastSentEvent(String id) {
    return lastSent.getOrDefault(id, 0);
  }

  /** Returns the weight version of a model in service; 0 if the model is unknown. */
  public synchronized long version(String model) {
    return versions.getOrDefault(model, 0L);
  }

  /** Changes the version of a model as a late order does; running streams continue under it. */
  public synchronized void setVersion(String model, long version) {
    acceptedOrders++;
    versions.put(model, version);
  }

  /** Returns how many orders were rejected because they expected another sequence number. */
  public synchronized int conflicts() {
    return conflicts;
  }

  private synchronized String models() {
    return versions.entrySet().stream()
        .map(v -> "{\"name\":\"" + v.getKey() + "\",\"version\":" + v.getValue() + "}")
        .collect(Collectors.joining(",", "[", "]"));
  }

  private void routes(ServerBuilder sb) {
    sb.service("/-/report", (ctx, req) -> report());
    sb.service("/-/order", (ctx, req) -> HttpResponse.of(req.aggregate().thenApply(this::order)));
    sb.serviceUnder(
        "/", (ctx, req) -> HttpResponse.of(req.aggregate().thenApply(http -> run(ctx, http))));
  }

  private synchronized HttpResponse report() {
    return HttpResponse.of(
        HttpStatus.OK,
        MediaType.JSON,
        "{\"models\":" + models() + ",\"busy\":false,\"sequence\":" + acceptedOrders + "}");
  }

  private synchronized HttpResponse order(AggregatedHttpRequest http) {
    JsonNode order;
    try {
      order = StandInServer.JSON.readTree(http.content().array());
    } catch (IOException e) {
      return HttpResponse.of(HttpStatus.BAD_REQUEST);
    }
    long fence = order.path("fence").asLong(-1);
    if (fence < highestFence) {
      return HttpResponse.of(HttpStatus.PRECONDITION_FAILED);
    }
    if (order.path("expected").asLong() != acceptedOrders) {
      conflicts++;
      return HttpResponse.of(HttpStatus.CONFLICT);
    }
    highestFence = fence;
    acceptedOrders++;
    versions.put(order.path("model").asText(), order.path("version").asLong());
    return HttpResponse.of(HttpStatus.ACCEPTED);
  }

  private HttpResponse run(ServiceRequestContext ctx, AggregatedHttpRequest http) {
    RequestHeaders headers = http.headers();
    String id = headers.get(REQUEST_ID, "");
    if (!instance.equals(headers.get(EXPECTED_INSTANCE, instance))) {
      return HttpResponse.of(head(421, id).build());
    }
    int status = forcedStatus();
    if (status > 0) {
      ResponseHeadersBuilder out = head(status, id);
      if (status == 503) {
        out.add("carobhoist-not-run", "1");
      }
      return HttpResponse.of(out.build());
    }
    int from = Integer.parseInt(headers.get("last-event-id", "0")) + 1;
    recordRun(id + " from " + from, headers);
    if (fails(headers.path())) {
      return HttpResponse.of(head(500, id).build());
    }
    return engine ? stream(ctx, headers, from) : echo(ctx, id, http);
  }

  private HttpResponse echo(ServiceRequestContext ctx, String id, AggregatedHttpRequest http) {
    HttpResponse response = HttpResponse.of(head(200, id).build(), http.content());
    long millis = responseDelayMillis();
    return millis == 0
        ? response
        : HttpResponse.delayed(response, Duration.ofMillis(millis), ctx.eventLoop());
  }

  private HttpResponse stream(ServiceRequestContext ctx, RequestHeaders headers, int from) {
    HttpResponseWriter out = HttpResponse.streaming();
    String id = headers.get(REQUEST_ID, "");
    String model = headers.get(MODEL, "");
    long version = version(model);
    ResponseHeaders head =
        head(200, id)
            .add(WEIGHT_VERSIONS, Long.toString(version))
            .contentType(MediaType.EVENT_STREAM)
            .build();
    out.write(head);
    sendNext(ctx, out, id, model, version, from, takeAbortAfterEvents());
    return out;
  }

  private void sendNext(
      ServiceRequestContext ctx,
      HttpResponseWriter out,
      String id,
      String model,
      long lastVersion,
      int number,
      int eventsLeft) {
    if (!out.isOpen()) {
      return;
    }
    if (eventsLeft == 0) {
      out.close(new IllegalStateException("stream aborted on purpose"));
      return;
    }
    if (number > eventCount()) {
      out.close();
      return;
    }
    recordSent(id, number);
    long version = version(model);
    String change = version == lastVersion ? "" : WEIGHT_VERSIONS + ": " + version + "\n";
    out.write(HttpData.ofUtf8(change + "id: " + number + "\ndata: " + id + "-" + number + "\n\n"));
    ctx.eventLoop()
        .schedule(
            () -> sendNext(ctx, out, id, model, version, number + 1, eventsLeft - 1),
            eventMillis(),
            TimeUnit.MILLISECONDS);
  }

  private ResponseHeadersBuilder head(int status, String id) {
    ResponseHeadersBuilder out =
        ResponseHeaders.builder(status)
            .add(REQUEST_ID, id)
            .add("carobhoist-server-stamp", "stamp-of-" + instance);
    return isLeaving() ? out.add("server-leaving", "1") : out;
  }

  private synchronized boolean isLeaving() {
    return leaving;
  }

  private synchronized boolean fails(String path) {
    return !failingPathPrefix.isEmpty() && path.startsWith(failingPathPrefix);
  }

  private synchronized long responseDelayMillis() {
    return responseDelayMillis;
  }

  private synchronized void recordSent(String id, int number) {
    lastSent.put(id, number);
  }

  private synchronized void recordRun(String run, RequestHeaders headers) {
    runs.add(run);
    received.add(headers);
  }

  private synchronized int forcedStatus() {
    return forcedStatus;
  }

  private synchronized int eventCount() {
    return eventCount;
  }

  private synchronized long eventMillis() {
    return eventMillis;
  }

  private synchronized int takeAbortAfterEvents() {
    int taken = abortAfterEvents;
    abortAfterEvents = -1;
    return taken;
  }
}
