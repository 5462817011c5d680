package org.carobhoist.it;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
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
import org.carobhoist.standin.OddServerStandIn;
import org.carobhoist.standin.PlatformCaller;
import org.carobhoist.standin.PlatformDocuments;
import org.carobhoist.standin.PlatformServerStandIn;
import org.carobhoist.standin.StoreStandIn;

/** Entries as real processes, with stand-ins for the platform's store and its servers. */
final class GatewayCluster implements AutoCloseable {

  /** Longest time for an answer; far above what it takes. */
  private static final Duration LIMIT = Duration.ofSeconds(60);

  private final Path folder;
  private final StoreStandIn store = new StoreStandIn();
  private final List<PlatformServerStandIn> servers = new ArrayList<>();
  private final List<OddServerStandIn> oddServers = new ArrayList<>();
  private final Map<String, RoleProcess> processes = new HashMap<>();
  private final Map<String, PlatformCaller> callers = new HashMap<>();

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
    store.publish(version, kind);
  }

  /** Starts a server and lets it register. */
  PlatformServerStandIn addServer(String instance, String service, boolean engine) {
    PlatformServerStandIn server = new PlatformServerStandIn(instance, engine);
    server.start();
    servers.add(server);
    store.register(service, server);
    return server;
  }

  /** Starts a plain server with odd answers and registers it. */
  OddServerStandIn addOddServer(String instance, String service, OddServerStandIn.Oddity oddity)
      throws IOException {
    OddServerStandIn server = OddServerStandIn.start(instance, oddity);
    oddServers.add(server);
    store.register(service, instance, server);
    return server;
  }

  /** Starts an entry. */
  void startEntry(String name) throws IOException {
    startEntry(name, store.uri().getAuthority());
  }

  /** Starts an entry that reaches the store at the given address. */
  void startEntry(String name, String storeAddress) throws IOException {
    int ready = LoopbackPorts.next();
    int front = LoopbackPorts.next();
    int peers = LoopbackPorts.nextPair();
    callers.put(name, PlatformCaller.of(front, LIMIT));
    String boot = PlatformDocuments.bootFile(name, front, ready, peers, storeAddress);
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
    return callers.get(entry).send(method, host, path, body, id);
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

  @Override
  public void close() {
    processes.values().forEach(RoleProcess::kill);
    servers.forEach(PlatformServerStandIn::stop);
    oddServers.forEach(OddServerStandIn::stop);
    store.stop();
  }
}
