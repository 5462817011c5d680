package org.carobhoist.it;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
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
import java.util.regex.Pattern;
import org.carobhoist.standin.LoopbackPorts;
import org.carobhoist.standin.MisbehavingServerStandIn;
import org.carobhoist.standin.PlatformClient;
import org.carobhoist.standin.PlatformDocuments;
import org.carobhoist.standin.PlatformServerStandIn;
import org.carobhoist.standin.StoreStandIn;

/** Entries as real processes, with stand-ins for the store and the servers of the platform. */
final class GatewayCluster implements AutoCloseable {

  /** Response timeout, far above the usual response time. */
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  private final Path folder;
  private final StoreStandIn store = new StoreStandIn();
  private final List<PlatformServerStandIn> servers = new ArrayList<>();
  private final List<MisbehavingServerStandIn> misbehavingServers = new ArrayList<>();
  private final Map<String, RoleProcess> processes = new HashMap<>();
  private final Map<String, PlatformClient> clients = new HashMap<>();
  private final Map<String, Integer> clientPorts = new HashMap<>();
  private final Map<String, WebClient> adminClients = new HashMap<>();

  private GatewayCluster(Path folder) {
    this.folder = folder;
  }

  /** Starts the store with a manifest; servers and entries are added later. */
  static GatewayCluster start(Path folder) {
    GatewayCluster cluster = new GatewayCluster(folder);
    cluster.store.start();
    cluster.publish(1, "idempotent");
    return cluster;
  }

  StoreStandIn store() {
    return store;
  }

  /** Publishes a manifest whose route for bookings has the given kind. */
  void publish(long version, String kind) {
    store.publish(version, kind);
  }

  /** Starts a server and registers it. */
  PlatformServerStandIn addServer(String instance, String service, boolean engine) {
    PlatformServerStandIn server = new PlatformServerStandIn(instance, engine);
    server.start();
    servers.add(server);
    store.register(service, server);
    return server;
  }

  /** Starts a misbehaving plain server and registers it. */
  MisbehavingServerStandIn addMisbehavingServer(
      String instance, String service, MisbehavingServerStandIn.Misbehavior misbehavior)
      throws IOException {
    return addMisbehavingServer(instance, service, misbehavior, false);
  }

  /** Starts a misbehaving server and registers it as an engine or a plain service. */
  MisbehavingServerStandIn addMisbehavingServer(
      String instance,
      String service,
      MisbehavingServerStandIn.Misbehavior misbehavior,
      boolean engine)
      throws IOException {
    MisbehavingServerStandIn server = MisbehavingServerStandIn.start(instance, misbehavior);
    misbehavingServers.add(server);
    store.register(service, instance, server, engine);
    return server;
  }

  /** Creates a cluster and starts two entries, without waiting until they are ready. */
  static GatewayCluster withTwoEntries(Path folder) throws IOException {
    GatewayCluster cluster = start(folder);
    cluster.startEntry("entry-1");
    cluster.startEntry("entry-2");
    return cluster;
  }

  /** Waits until an entry lists the given number of results of a job. */
  void awaitListed(String entry, String job, int count) {
    await(
        count + " results of " + job + " at " + entry,
        () -> results(entry, job).contains("\"next\":" + count + ","));
  }

  /** Returns the first page of results of a job. */
  String results(String entry, String job) {
    return get(entry, PlatformDocuments.JOBS_HOST, "/-/lots/" + job + "?after=0").contentUtf8();
  }

  /** Starts an entry. */
  void startEntry(String name) throws IOException {
    startEntry(name, store.uri().getAuthority());
  }

  /** Starts an entry that reaches the store at the given address. */
  void startEntry(String name, String storeAddress) throws IOException {
    startProcess(name, storeAddress, "");
  }

  /** Starts an entry with further lines of its boot file. */
  void startEntryWith(String name, String bootLines) throws IOException {
    startProcess(name, store.uri().getAuthority(), bootLines);
  }

  private void startProcess(String name, String storeAddress, String bootLines) throws IOException {
    int ready = LoopbackPorts.next();
    int clientPort = LoopbackPorts.next();
    int peers = LoopbackPorts.nextPair();
    clients.put(name, PlatformClient.of(clientPort, TIMEOUT));
    clientPorts.put(name, clientPort);
    String boot =
        PlatformDocuments.bootFile(name, clientPort, ready, peers, storeAddress) + bootLines;
    adminClients.put(name, WebClient.of("http://127.0.0.1:" + (peers + 1)));
    processes.put(name, RoleProcess.start("gateway", folder, name, boot));
  }

  /** Returns the port on which an entry serves clients. */
  int clientPort(String name) {
    return clientPorts.get(name);
  }

  RoleProcess process(String name) {
    return processes.get(name);
  }

  String log(String name) throws IOException {
    return processes.get(name).log();
  }

  /** Waits until an entry reports that it is ready. */
  void awaitReady(String name) {
    await(name + " is ready", () -> get(name, "book.example", "/-/ready").status().code() == 200);
  }

  /** Returns the entry that logged the lease with the highest term; empty if none has. */
  String coordinator() throws IOException {
    String found = "";
    long term = -1;
    for (String name : processes.keySet()) {
      for (String line : log(name).lines().toList()) {
        int at = line.indexOf("event=7401");
        long lineTerm = at < 0 ? -1 : Long.parseLong(line.replaceAll(".* term=(\\d+).*", "$1"));
        if (lineTerm > term) {
          term = lineTerm;
          found = name;
        }
      }
    }
    return found;
  }

  /** Returns {@link #coordinator()} without a checked exception, for use in conditions. */
  String coordinatorUnchecked() {
    try {
      return coordinator();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** Returns the log of an entry without a checked exception, for use in conditions. */
  String logUnchecked(String entry) {
    try {
      return log(entry);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** Waits until one of two entries is coordinator and has a link to the other; returns it. */
  String awaitLinkedCoordinator() {
    await("a coordinator", () -> !coordinatorUnchecked().isEmpty());
    String first = coordinatorUnchecked();
    awaitLink(first, otherEntry(first));
    return first;
  }

  /** Waits until an entry has a link to a peer; a link that the peer opened doesn't count. */
  void awaitLink(String entry, String peer) {
    Pattern linked = Pattern.compile("\"peers\":\\[[^]]*\"" + peer + "\"");
    await("a link of " + entry + " to " + peer, () -> linked.matcher(state(entry)).find());
  }

  /** Returns the internal state of an entry as JSON. */
  String state(String entry) {
    return adminClients.get(entry).get("/state").aggregate().join().contentUtf8();
  }

  /** Returns the metrics page of an entry. */
  String metrics(String entry) {
    return adminClients.get(entry).get("/metrics").aggregate().join().contentUtf8();
  }

  /** Returns the other entry of a cluster with two entries. */
  static String otherEntry(String entry) {
    return entry.equals("entry-1") ? "entry-2" : "entry-1";
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
    return clients.get(entry).send(method, host, path, body, id);
  }

  CompletableFuture<AggregatedHttpResponse> sendAsync(
      String entry, RequestHeaders headers, String body) {
    return clients.get(entry).send(headers, body);
  }

  /** Waits for a condition; a failed request counts as not fulfilled. */
  void await(String what, BooleanSupplier condition) {
    TestCluster.await(what, () -> isFulfilled(condition));
  }

  private static boolean isFulfilled(BooleanSupplier condition) {
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
    misbehavingServers.forEach(MisbehavingServerStandIn::stop);
    store.stop();
  }
}
