package org.carobhoist.standin;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.URI;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.carobhoist.core.membership.ListedInstance;

/**
 * Stand-in for the platform: an append-only log with offsets from 1 whose oldest records can be
 * discarded, an instance list, and a store of weight versions. Setters simulate outages of the log
 * and of the instance list, and lost responses to appends.
 */
public final class PlatformStandIn {

  private final StandInServer server = new StandInServer(this::routes);
  private final List<Stored> records = new ArrayList<>();
  private final List<CompletableFuture<Void>> waiters = new ArrayList<>();
  private final Map<String, ListedInstance> instances = new ConcurrentHashMap<>();
  private final Map<String, Long> newest = new ConcurrentHashMap<>();
  private final AtomicInteger responsesToDrop = new AtomicInteger();
  private long nextOffset = 1;
  private volatile boolean logDown;
  private volatile boolean listDown;

  private record Stored(long offset, long timeMillis, byte[] data) {}

  /** One record in the response to a read; the data is base64. */
  public record RecordMessage(long offset, long timeMillis, String data) {}

  /** Response to a read: the oldest offset kept, the next one to be assigned, and the records. */
  public record ReadMessage(long first, long next, List<RecordMessage> records) {}

  /** Response to an append. */
  public record AppendMessage(long offset) {}

  /** The newest version of a model's weights. */
  public record NewestMessage(long version) {}

  /** Starts the stand-in. */
  public void start() {
    server.start();
  }

  /** Stops the stand-in; its content is kept for the next start. */
  public void stop() {
    server.stop();
  }

  /** Returns the base URL of the log, the instance list and the weight store. */
  public URI uri() {
    return server.uri();
  }

  /** Adds or replaces an instance in the instance list. */
  public void putInstance(ListedInstance instance) {
    instances.put(instance.instance().value(), instance);
  }

  /** Removes an instance from the instance list. */
  public void removeInstance(String instance) {
    instances.remove(instance);
  }

  /** Sets whether every call to the log fails. */
  public void setLogDown(boolean down) {
    logDown = down;
  }

  /** Sets whether every call to the instance list fails. */
  public void setListDown(boolean down) {
    listDown = down;
  }

  /** Stores the records of the next appends but fails their responses. */
  public void dropAppendResponses(int count) {
    responsesToDrop.set(count);
  }

  /** Discards the records below an offset, as when their retention period ends. */
  public synchronized void discardBelow(long offset) {
    records.removeIf(r -> r.offset() < offset);
  }

  /** Returns the next offset to be assigned. */
  public synchronized long nextOffset() {
    return nextOffset;
  }

  /** Returns when a record was appended, in milliseconds since the Unix epoch. */
  public synchronized long timeMillis(long offset) {
    return records.stream()
        .filter(r -> r.offset() == offset)
        .findFirst()
        .orElseThrow()
        .timeMillis();
  }

  private void routes(ServerBuilder sb) {
    sb.service(
        "/log/append",
        (ctx, req) -> HttpResponse.of(req.aggregate().thenApply(r -> append(r.content()))));
    sb.service("/log/records", (ctx, req) -> read(ctx));
    sb.service(
        "/instances",
        (ctx, req) ->
            listDown ? HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE) : instances(ctx, req));
    sb.service("/weights/{model}", this::weights);
  }

  /** Returns all instances or one of them; 304 if the ETag of the client still matches. */
  private HttpResponse instances(
      ServiceRequestContext ctx, com.linecorp.armeria.common.HttpRequest req) {
    String instanceId = ctx.queryParam("instance");
    List<ListedInstance> found =
        instances.values().stream()
            .filter(i -> instanceId == null || i.instance().value().equals(instanceId))
            .sorted(Comparator.comparing(ListedInstance::instance))
            .toList();
    String tag = '"' + Integer.toHexString(found.hashCode()) + '"';
    if (tag.equals(req.headers().get(HttpHeaderNames.IF_NONE_MATCH))) {
      return HttpResponse.of(HttpStatus.NOT_MODIFIED);
    }
    return StandInServer.json(found).mapHeaders(h -> h.withMutations(b -> b.add("etag", tag)));
  }

  private HttpResponse weights(
      ServiceRequestContext ctx, com.linecorp.armeria.common.HttpRequest req) {
    String model = ctx.pathParam("model");
    String published = ctx.queryParam("publish");
    if (published != null) {
      newest.merge(model, Long.parseLong(published), Math::max);
    }
    return StandInServer.json(new NewestMessage(newest.getOrDefault(model, 0L)));
  }

  private synchronized HttpResponse append(HttpData data) {
    if (logDown) {
      return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
    }
    long offset = nextOffset++;
    records.add(new Stored(offset, System.currentTimeMillis(), data.array()));
    List.copyOf(waiters).forEach(w -> w.complete(null));
    waiters.clear();
    if (responsesToDrop.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
      return HttpResponse.ofFailure(new IllegalStateException("response dropped on purpose"));
    }
    return StandInServer.json(new AppendMessage(offset));
  }

  private synchronized HttpResponse read(ServiceRequestContext ctx) {
    if (logDown) {
      return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
    }
    long from = Long.parseLong(ctx.queryParam("from"));
    long waitMillis = Long.parseLong(ctx.queryParam("wait"));
    if (from < nextOffset || waitMillis == 0) {
      return readResponse(from);
    }
    CompletableFuture<Void> waiter = new CompletableFuture<>();
    waiters.add(waiter);
    waiter.completeOnTimeout(null, waitMillis, TimeUnit.MILLISECONDS);
    return HttpResponse.of(waiter.thenApply(done -> readResponse(from)));
  }

  private synchronized HttpResponse readResponse(long from) {
    if (logDown) {
      return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
    }
    List<RecordMessage> found =
        records.stream()
            .filter(r -> r.offset() >= from)
            .limit(500)
            .map(r -> new RecordMessage(r.offset(), r.timeMillis(), encode(r.data())))
            .toList();
    long first = records.isEmpty() ? nextOffset : records.get(0).offset();
    return StandInServer.json(new ReadMessage(first, nextOffset, found));
  }

  private static String encode(byte[] data) {
    return Base64.getEncoder().encodeToString(data);
  }
}
