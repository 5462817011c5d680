package org.carobhoist.standin;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.QueryParams;
import com.linecorp.armeria.server.ServerBuilder;
import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Stand-in for the store of the platform: topics that are divided into shards, conditional appends,
 * long-polling reads, and the newest record of each key. Setters reject calls, drop responses,
 * delay appends or serve stale reads.
 */
public final class StoreStandIn {

  private static final byte[] NO_CONTENT = {};
  private static final int PAGE_SIZE = 100;
  private static final int PRECONDITION_FAILED = 412;

  private final StandInServer server = new StandInServer(this::routes);
  private final Map<String, List<byte[]>> shards = new HashMap<>();
  private final Map<String, CompletableFuture<Void>> appendSignals = new HashMap<>();
  private Predicate<String> rejectedCalls = target -> false;
  private int responsesToDrop;
  private long appendDelayMillis;
  private int maxCallBytes = Integer.MAX_VALUE;
  private Map<String, Integer> staleEnds;

  /** The newest record of a key, as part of a page. */
  public record Newest(String key, String value, long offset) {}

  /** A page of the newest records of all keys. */
  public record NewestMessage(
      List<Newest> items, @JsonProperty("more_pages") boolean more, long end) {}

  /** Starts the stand-in. */
  public void start() {
    server.start();
  }

  /** Stops the stand-in; its content is kept for the next start. */
  public void stop() {
    server.stop();
  }

  /** Returns the base URL of the store. */
  public URI uri() {
    return server.uri();
  }

  /** Sets which calls are rejected with status 503, by path and query. */
  public synchronized void rejectCalls(Predicate<String> calls) {
    rejectedCalls = calls;
  }

  /** Executes the next appends without responding to them. */
  public synchronized void dropResponses(int count) {
    responsesToDrop = count;
  }

  /** Delays appends and leaves them without a response until the delay is set back to 0. */
  public synchronized void setAppendDelay(long millis) {
    appendDelayMillis = millis;
  }

  /** Sets the maximum size of an append; larger ones are refused with status 413. */
  public synchronized void setMaxCallBytes(int bytes) {
    maxCallBytes = bytes;
  }

  /** While set, reads don't return records appended since; appends still succeed. */
  public synchronized void setStaleReads(boolean stale) {
    staleEnds = stale ? new HashMap<>() : null;
    if (stale) {
      shards.forEach((name, records) -> staleEnds.put(name, records.size()));
    }
  }

  /** Appends a record to shard 0 of a topic. */
  public void put(String topic, String key, String value) {
    append(topic + "/0", List.of(record(key, value.getBytes(StandardCharsets.UTF_8))));
  }

  /** Publishes a manifest; see {@link PlatformDocuments#manifest(long, String, Duration)}. */
  public void publish(long version, String kind, Duration timeout) {
    put("keyed.op", "config", PlatformDocuments.manifest(version, kind, timeout));
  }

  /** Publishes a manifest; see {@link PlatformDocuments#manifest(long, String)}. */
  public void publish(long version, String kind) {
    put("keyed.op", "config", PlatformDocuments.manifest(version, kind));
  }

  /** Publishes the weight version to load for a model, as its trainer does. */
  public void publishWeightVersion(String model, long version) {
    String content = "{\"model\":\"" + model + "\",\"version\":" + version + "}";
    put("keyed.op", "version/" + model, content);
  }

  /** Writes a server in state {@code ready} to the registry topic. */
  public void register(String service, PlatformServerStandIn server) {
    put("keyed.servers", server.instance(), server.entry(service, "a", "ready", 1));
  }

  /** Registers a misbehaving server as ready: an engine of model "m0" or a plain service. */
  public void register(
      String service, String instance, MisbehavingServerStandIn server, boolean engine) {
    String models = engine ? ",\"models\":[{\"name\":\"m0\",\"version\":1}]" : "";
    String entry =
        PlatformDocuments.serverEntry(service, server.address(), "a", "ready", 1, models);
    put("keyed.servers", instance, entry);
  }

  /** Returns the newest value of each key of a shard, sorted by key. */
  public synchronized Map<String, byte[]> newest(String topic, int shard) {
    Map<String, byte[]> out = new TreeMap<>();
    for (byte[] r : shard(topic + "/" + shard)) {
      byte[] value = value(r);
      if (value.length == 0) {
        out.remove(key(r));
      } else {
        out.put(key(r), value);
      }
    }
    return out;
  }

  /** Returns the number of records of a shard whose key has the given prefix. */
  public synchronized long count(String topic, int shard, String prefix) {
    return shard(topic + "/" + shard).stream().filter(r -> key(r).startsWith(prefix)).count();
  }

  private void routes(ServerBuilder sb) {
    sb.service(
        "/-/log-append",
        (ctx, req) ->
            HttpResponse.of(
                req.aggregate().thenCompose(http -> append(ctx.path(), ctx.query(), http))));
    sb.service("/-/log-read", (ctx, req) -> read(ctx.path(), ctx.query()));
    sb.service("/-/log-newest", (ctx, req) -> newestPage(ctx.path(), ctx.query()));
  }

  private CompletableFuture<HttpResponse> append(
      String path, String query, AggregatedHttpRequest http) {
    if (isRejected(path, query)) {
      return CompletableFuture.completedFuture(unavailable());
    }
    if (http.content().length() > maxCallBytes()) {
      return CompletableFuture.completedFuture(
          HttpResponse.of(HttpStatus.REQUEST_ENTITY_TOO_LARGE));
    }
    QueryParams params = QueryParams.fromQueryString(query);
    List<byte[]> records = split(http.content().array());
    String expectedEnd = params.get("at");
    long delayMillis = appendDelayMillis();
    if (delayMillis > 0) {
      CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS)
          .execute(() -> append(shardName(params), expectedEnd, records));
      return new CompletableFuture<>();
    }
    HttpResponse response = append(shardName(params), expectedEnd, records);
    return takeDroppedResponse()
        ? new CompletableFuture<>()
        : CompletableFuture.completedFuture(response);
  }

  private synchronized HttpResponse append(String shard, String expectedEnd, List<byte[]> records) {
    long end = shard(shard).size();
    if (expectedEnd != null && Long.parseLong(expectedEnd) != end) {
      return HttpResponse.of(
          HttpStatus.valueOf(PRECONDITION_FAILED), MediaType.JSON, "{\"end\":" + end + "}");
    }
    append(shard, records);
    return HttpResponse.of(
        HttpStatus.OK,
        MediaType.JSON,
        "{\"offset\":" + end + ",\"end\":" + (end + records.size()) + "}");
  }

  private synchronized void append(String shard, List<byte[]> records) {
    shard(shard).addAll(records);
    CompletableFuture<Void> signal = appendSignals.remove(shard);
    if (signal != null) {
      signal.complete(null);
    }
  }

  private HttpResponse read(String path, String query) {
    if (isRejected(path, query)) {
      return unavailable();
    }
    QueryParams params = QueryParams.fromQueryString(query);
    String shard = shardName(params);
    int from = Integer.parseInt(params.get("from"));
    long waitMillis = Long.parseLong(params.get("wait_ms", "0"));
    CompletableFuture<Void> appendSignal;
    synchronized (this) {
      if (readableRecords(shard).size() > from || waitMillis == 0) {
        return records(shard, from);
      }
      appendSignal = appendSignals.computeIfAbsent(shard, key -> new CompletableFuture<>());
    }
    return HttpResponse.of(
        appendSignal
            .copy()
            .completeOnTimeout(null, waitMillis, TimeUnit.MILLISECONDS)
            .thenApply(ok -> records(shard, from)));
  }

  private synchronized HttpResponse records(String shard, int from) {
    List<byte[]> all = readableRecords(shard);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(ByteBuffer.allocate(16).putLong(all.size()).putLong(0).array());
    for (byte[] r : all.subList(Math.min(from, all.size()), all.size())) {
      out.writeBytes(ByteBuffer.allocate(4).putInt(r.length).array());
      out.writeBytes(r);
    }
    return HttpResponse.of(HttpStatus.OK, MediaType.OCTET_STREAM, HttpData.wrap(out.toByteArray()));
  }

  private synchronized HttpResponse newestPage(String path, String query) {
    if (isRejected(path, query)) {
      return unavailable();
    }
    QueryParams params = QueryParams.fromQueryString(query);
    List<byte[]> all = readableRecords(shardName(params));
    TreeMap<String, Newest> newest = new TreeMap<>();
    for (int i = 0; i < all.size(); i++) {
      byte[] value = value(all.get(i));
      String key = key(all.get(i));
      if (value.length == 0) {
        newest.remove(key);
      } else {
        newest.put(key, new Newest(key, Base64.getEncoder().encodeToString(value), i));
      }
    }
    List<Newest> rest = new ArrayList<>(newest.tailMap(params.get("after", ""), false).values());
    List<Newest> page = rest.subList(0, Math.min(PAGE_SIZE, rest.size()));
    return StandInServer.json(new NewestMessage(page, rest.size() > page.size(), all.size()));
  }

  private synchronized boolean isRejected(String path, String query) {
    return rejectedCalls.test(path + "?" + query);
  }

  private synchronized int maxCallBytes() {
    return maxCallBytes;
  }

  private synchronized long appendDelayMillis() {
    return appendDelayMillis;
  }

  private synchronized boolean takeDroppedResponse() {
    if (responsesToDrop == 0) {
      return false;
    }
    responsesToDrop--;
    return true;
  }

  /** Returns the records that reads can see: all of them, unless reads are stale. */
  private List<byte[]> readableRecords(String name) {
    List<byte[]> all = shard(name);
    return staleEnds == null
        ? all
        : all.subList(0, Math.min(staleEnds.getOrDefault(name, 0), all.size()));
  }

  private List<byte[]> shard(String name) {
    return shards.computeIfAbsent(name, key -> new ArrayList<>());
  }

  private static String shardName(QueryParams params) {
    return params.get("topic") + "/" + params.get("part");
  }

  private static HttpResponse unavailable() {
    return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
  }

  private static List<byte[]> split(byte[] content) {
    List<byte[]> records = new ArrayList<>();
    ByteBuffer in = ByteBuffer.wrap(content);
    while (in.hasRemaining()) {
      byte[] r = new byte[in.getInt()];
      in.get(r);
      records.add(r);
    }
    return records;
  }

  private static byte[] record(String key, byte[] value) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.write(key.length());
    out.writeBytes(key.getBytes(StandardCharsets.US_ASCII));
    out.writeBytes(value.length == 0 ? NO_CONTENT : value);
    return out.toByteArray();
  }

  private static String key(byte[] content) {
    return new String(content, 1, content[0], StandardCharsets.US_ASCII);
  }

  private static byte[] value(byte[] content) {
    return Arrays.copyOfRange(content, 1 + content[0], content.length);
  }
}
