package org.carobhoist.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in for a model engine. It streams OpenAI-style completions as server-sent events; each
 * chunk has its tokens and the weight version that generated them. A token encodes that version, so
 * that a test can verify every attribution: {@code token = version * TOKEN_BASE + position}.
 */
public final class EngineStandIn {

  /** Tokens of version v lie between v * TOKEN_BASE and (v + 1) * TOKEN_BASE. */
  public static final int TOKEN_BASE = 100_000;

  private static final int CHUNK_TOKENS = 8;

  private final StandInServer server = new StandInServer(this::routes);
  private final AtomicLong version = new AtomicLong(1);
  private final AtomicLong highestFence = new AtomicLong();
  private final AtomicInteger running = new AtomicInteger();
  private final ConcurrentLinkedQueue<Long> loadedVersions = new ConcurrentLinkedQueue<>();
  private volatile Duration chunkInterval = Duration.ofMillis(2);
  private volatile boolean ignoreFence;
  private volatile boolean omitVersion;

  /** Response that reports the weight version in service. */
  public record ServedMessage(long version) {}

  /** The engine's load report. */
  public record LoadMessage(int running, int waiting, long kvFreeTokens, long version) {}

  /** Starts the stand-in. */
  public void start() {
    server.start();
  }

  /** Stops the stand-in at once, as in a crash. */
  public void stop() {
    server.stop();
  }

  /** Returns its base URL. */
  public URI uri() {
    return server.uri();
  }

  /** Sets the time between two chunks of a stream. */
  public void setChunkInterval(Duration value) {
    chunkInterval = value;
  }

  /** Sets whether the engine accepts orders with an outdated fencing token. */
  public void setIgnoreFence(boolean value) {
    ignoreFence = value;
  }

  /** Sets whether streams omit the weight version from their chunks. */
  public void setOmitVersion(boolean value) {
    omitVersion = value;
  }

  /** Sets the weight version in service, as if the engine had been started with it. */
  public void setVersion(long value) {
    version.set(value);
  }

  /** Returns the weight version in service, whatever the streams report. */
  public long version() {
    return version.get();
  }

  /** Returns the versions that were loaded by load orders, oldest first. */
  public List<Long> loadedVersions() {
    return List.copyOf(loadedVersions);
  }

  private void routes(ServerBuilder sb) {
    sb.service("/v1/completions", (ctx, req) -> withBody(ctx, req, this::complete));
    sb.service("/v1/chat/completions", (ctx, req) -> withBody(ctx, req, this::complete));
    sb.service("/orders", (ctx, req) -> withBody(ctx, req, this::order));
    sb.service("/served", (ctx, req) -> StandInServer.json(new ServedMessage(version.get())));
    sb.service(
        "/load",
        (ctx, req) ->
            StandInServer.json(new LoadMessage(running.get(), 0, 1_000_000, version.get())));
  }

  private interface BodyHandler {
    HttpResponse handle(ServiceRequestContext ctx, JsonNode body);
  }

  private static HttpResponse withBody(
      ServiceRequestContext ctx, com.linecorp.armeria.common.HttpRequest req, BodyHandler handler) {
    return HttpResponse.of(req.aggregate().thenApply(r -> parse(ctx, r, handler)));
  }

  private static HttpResponse parse(
      ServiceRequestContext ctx, AggregatedHttpRequest request, BodyHandler handler) {
    try {
      return handler.handle(ctx, StandInServer.JSON.readTree(request.content().array()));
    } catch (IOException e) {
      return HttpResponse.of(HttpStatus.BAD_REQUEST);
    }
  }

  private HttpResponse order(ServiceRequestContext ctx, JsonNode body) {
    long fence = body.path("fence").asLong();
    if (!ignoreFence && fence < highestFence.get()) {
      return HttpResponse.of(HttpStatus.CONFLICT);
    }
    highestFence.accumulateAndGet(fence, Math::max);
    if (body.path("op").asText().equals("load")) {
      version.set(body.path("version").asLong());
      loadedVersions.add(version.get());
    }
    return StandInServer.json(new ServedMessage(version.get()));
  }

  private HttpResponse complete(ServiceRequestContext ctx, JsonNode body) {
    HttpResponseWriter out = HttpResponse.streaming();
    out.write(ResponseHeaders.of(HttpStatus.OK, "content-type", MediaType.EVENT_STREAM));
    running.incrementAndGet();
    out.whenComplete().whenComplete((ok, failure) -> running.decrementAndGet());
    int maxTokens = body.path("max_tokens").asInt(16);
    int sentTokens = body.path("resume_tokens").size();
    sendChunks(ctx, out, sentTokens, maxTokens);
    return out;
  }

  private void sendChunks(
      ServiceRequestContext ctx, HttpResponseWriter out, int sentTokens, int maxTokens) {
    if (!out.isOpen()) {
      return;
    }
    if (sentTokens >= maxTokens) {
      out.write(HttpData.ofUtf8("data: {\"tokens\":[],\"finish_reason\":\"stop\"}\n\n"));
      out.write(HttpData.ofUtf8("data: [DONE]\n\n"));
      out.close();
      return;
    }
    int count = Math.min(CHUNK_TOKENS, maxTokens - sentTokens);
    out.write(HttpData.ofUtf8("data: " + chunk(sentTokens, count) + "\n\n"));
    Runnable next = () -> sendChunks(ctx, out, sentTokens + count, maxTokens);
    ctx.eventLoop().schedule(next, chunkInterval.toMillis(), TimeUnit.MILLISECONDS);
  }

  private String chunk(int from, int count) {
    long current = version.get();
    List<Integer> tokens = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      tokens.add((int) (current * TOKEN_BASE + from + i));
    }
    Map<String, Object> chunk =
        omitVersion
            ? Map.of("tokens", tokens, "text", "w".repeat(count))
            : Map.of("tokens", tokens, "text", "w".repeat(count), "weight_version", current);
    return StandInServer.JSON.valueToTree(chunk).toString();
  }
}
