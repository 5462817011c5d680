package org.carobhoist.it;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import org.carobhoist.standin.LoopbackPorts;
import org.carobhoist.standin.PlatformServerStandIn;
import org.carobhoist.standin.StoreStandIn;

/** Entries as real processes, with stand-ins for the platform's store and its servers. */
final class GatewayCluster implements AutoCloseable {

  /** Longest time for an answer; far above what it takes. */
  private static final Duration LIMIT = Duration.ofSeconds(60);

  private static final String MANIFEST =
      "{\"version\":VERSION,\"routes\":["
          + "{\"name\":\"jobs\",\"host\":\"jobs.example\",\"path_prefix\":\"/\","
          + "\"kind\":\"rollout\","
          + "\"timeout_ms\":10000,\"service\":\"lm\",\"max_attempts\":2,\"retention_s\":40,"
          + "\"deadline_ms\":7500},"
          + "{\"name\":\"book\",\"host\":\"book.example\",\"path_prefix\":\"/\",\"kind\":\"KIND\","
          + "\"timeout_ms\":3000,\"service\":\"app\",\"max_attempts\":2}],"
          + "\"services\":[{\"name\":\"app\"},{\"name\":\"lm\",\"engine\":{\"slots\":8,"
          + "\"kv_cache_tokens\":100000,\"stride\":1,\"models\":[{\"name\":\"m0\"}]}}],"
          + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,"
          + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

  private final Path folder;
  private final StoreStandIn store = new StoreStandIn();
  private final List<PlatformServerStandIn> servers = new ArrayList<>();
  private final Map<String, RoleProcess> processes = new HashMap<>();
  private final Map<String, Integer> ports = new HashMap<>();

  private GatewayCluster(Path folder) {
    this.folder = folder;
  }

  /** Starts the store with a manifest; servers and entries follow. */
  static GatewayCluster start(Path folder) {
    GatewayCluster cluster = new GatewayCluster(folder);
    cluster.store.start();
    cluster.publish(1, "idempotent");
    return cluster;
  }

  StoreStandIn store() {
    return store;
  }

  /** Writes a manifest whose booking route has the given kind. */
  void publish(long version, String kind) {
    store.put(
        "keyed.op",
        "config",
        MANIFEST.replace("VERSION", Long.toString(version)).replace("KIND", kind));
  }

  /** Starts a server and lets it register. */
  PlatformServerStandIn addServer(String instance, String service, boolean engine) {
    PlatformServerStandIn server = new PlatformServerStandIn(instance, engine);
    server.start();
    servers.add(server);
    store.put("keyed.servers", instance, server.entry(service, "a", "ready", 1));
    return server;
  }

  /** Starts an entry. */
  void startEntry(String name) throws IOException {
    startEntry(name, store.uri().getAuthority());
  }

  /** Starts an entry that reaches the store at the given address. */
  void startEntry(String name, String storeAddress) throws IOException {
    int first = LoopbackPorts.next();
    int front = LoopbackPorts.next();
    int peers = pairOfPorts();
    ports.put(name, front);
    String boot =
        String.join(
            "\n",
            "node=" + name,
            "zone=a",
            "ip=127.0.0.1",
            "listen.front=127.0.0.1:" + front,
            "listen.ready=127.0.0.1:" + first,
            "internal_ports=" + peers + "," + (peers + 1),
            "bounds.drain_ms=2000",
            "bounds.grace_s=8",
            "bounds.lease_ms=3000",
            "bounds.status_ttl_s=120",
            "bounds.settle_ms=1000",
            "bounds.cancel_ms=3000",
            "platform.address=" + storeAddress,
            "");
    processes.put(name, RoleProcess.start("gateway", folder, name, boot));
  }

  RoleProcess process(String name) {
    return processes.get(name);
  }

  String log(String name) throws IOException {
    return processes.get(name).log();
  }

  /** Waits until an entry says that it is ready. */
  void awaitReady(String name) {
    await(name + " is ready", () -> get(name, "book.example", "/-/ready").status().code() == 200);
  }

  /** Returns the name of the entry that holds the lease, by the logs; empty if none does. */
  String coordinator() throws IOException {
    String found = "";
    long term = -1;
    for (String name : processes.keySet()) {
      for (String line : log(name).lines().toList()) {
        int at = line.indexOf("event=7401");
        long its = at < 0 ? -1 : Long.parseLong(line.replaceAll(".* term=(\\d+).*", "$1"));
        if (its > term) {
          term = its;
          found = name;
        }
      }
    }
    return found;
  }

  AggregatedHttpResponse get(String entry, String host, String path) {
    return sendAsync(entry, HttpMethod.GET, host, path, "", "r-" + System.nanoTime()).join();
  }

  AggregatedHttpResponse post(String entry, String host, String path, String body, String id) {
    return sendAsync(entry, HttpMethod.POST, host, path, body, id).join();
  }

  AggregatedHttpResponse delete(String entry, String host, String path) {
    return sendAsync(entry, HttpMethod.DELETE, host, path, "", "r-" + System.nanoTime()).join();
  }

  CompletableFuture<AggregatedHttpResponse> sendAsync(
      String entry, HttpMethod method, String host, String path, String body, String id) {
    RequestHeaders headers =
        RequestHeaders.builder(method, path)
            .authority(host)
            .add("carobhoist-request-id", id)
            .add("carobhoist-deadline-ms", "10000")
            .add("carobhoist-wait-ms", "500")
            .build();
    return WebClient.builder("h1c://127.0.0.1:" + ports.get(entry))
        .responseTimeout(LIMIT)
        .build()
        .execute(HttpRequest.of(headers, HttpData.ofUtf8(body)))
        .aggregate();
  }

  /** Returns a job of items with the given ids. */
  static String job(int minVersion, String... items) {
    List<String> out = new ArrayList<>();
    for (String id : items) {
      out.add(
          "{\"id\":\""
              + id
              + "\",\"path\":\"/run/"
              + id
              + "\",\"headers\":{\"Carobhoist-Model\":\"m0\"},\"body\":\"q83v\",\"tokens\":40,"
              + "\"group\":\"g\"}");
    }
    return "{\"step\":0,\"model\":\"m0\",\"min_version\":"
        + minVersion
        + ",\"desired_count\":1,\"items\":["
        + String.join(",", out)
        + "]}";
  }

  /** Waits for a condition that processes bring about by themselves. */
  void await(String what, BooleanSupplier condition) {
    TestCluster.await(what, () -> holds(condition));
  }

  private static boolean holds(BooleanSupplier condition) {
    try {
      return condition.getAsBoolean();
    } catch (CompletionException e) {
      return false;
    }
  }

  private static int pairOfPorts() {
    int port = LoopbackPorts.next();
    int next = LoopbackPorts.next();
    while (next != port + 1) {
      port = next;
      next = LoopbackPorts.next();
    }
    return port;
  }

  @Override
  public void close() {
    processes.values().forEach(RoleProcess::kill);
    servers.forEach(PlatformServerStandIn::stop);
    store.stop();
  }
}
