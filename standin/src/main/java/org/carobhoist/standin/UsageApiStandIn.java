package org.carobhoist.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Stand-in for the platform's API for usage reports; it records violations of the rules. */
public final class UsageApiStandIn {

  private static final String HOLDER = "carobhoist-duty-holder";
  private static final String FENCE = "carobhoist-fence-token";

  private final StandInServer server =
      new StandInServer(
          sb ->
              sb.service(
                  "/usage",
                  (ctx, req) -> HttpResponse.of(req.aggregate().thenApply(this::receive))));
  private final TreeMap<Long, String> bodies = new TreeMap<>();
  private final TreeMap<Long, String> holders = new TreeMap<>();
  private final List<String> violations = new ArrayList<>();
  private boolean refusing;

  /** Starts on a free port, or on the port of the previous start. */
  public void start() {
    server.start();
  }

  /** Stops at once. */
  public void stop() {
    server.stop();
  }

  /** Returns the base URI. */
  public URI uri() {
    return server.uri();
  }

  /** Sets whether calls are refused with 503. */
  public synchronized void setRefusing(boolean value) {
    refusing = value;
  }

  /** Returns the accepted bodies by window. */
  public synchronized TreeMap<Long, String> bodies() {
    return new TreeMap<>(bodies);
  }

  /** Returns the holders by fencing number. */
  public synchronized TreeMap<Long, String> holders() {
    return new TreeMap<>(holders);
  }

  /** Returns the violations of the rules. */
  public synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  private synchronized HttpResponse receive(AggregatedHttpRequest request) {
    if (refusing) {
      return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
    }
    long fence = Long.parseLong(request.headers().get(FENCE, "-1"));
    String holder = request.headers().get(HOLDER, "");
    if (!holders.isEmpty() && fence < holders.lastKey()) {
      violations.add("fencing number " + fence + " after " + holders.lastKey());
      return HttpResponse.of(HttpStatus.CONFLICT);
    }
    if (!holders.computeIfAbsent(fence, f -> holder).equals(holder)) {
      violations.add("fencing number " + fence + " of two holders");
    }
    return record(request.contentUtf8());
  }

  private HttpResponse record(String body) {
    try {
      JsonNode report = StandInServer.JSON.readTree(body);
      if (!report.path("counts").isObject() || !report.path("window_id").isIntegralNumber()) {
        violations.add("malformed: " + body);
        return HttpResponse.of(HttpStatus.BAD_REQUEST);
      }
      String known = bodies.putIfAbsent(report.path("window_id").longValue(), body);
      if (known != null && !known.equals(body)) {
        violations.add("two reports: " + known + " and " + body);
      }
      return HttpResponse.of(HttpStatus.OK);
    } catch (JsonProcessingException e) {
      violations.add("malformed: " + body);
      return HttpResponse.of(HttpStatus.BAD_REQUEST);
    }
  }
}
