package org.carobhoist.it;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpStatus;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.membership.ListedInstance;
import org.carobhoist.core.profile.ProfileChange;
import org.carobhoist.core.profile.Revision;
import org.carobhoist.server.logservice.HttpPlatform;
import org.carobhoist.server.logservice.LogRecords;
import org.carobhoist.standin.FaultProxy;
import org.carobhoist.standin.LoopbackPorts;
import org.carobhoist.standin.PlatformStandIn;

/** A platform stand-in and the processes that use it; closing it stops all of them. */
final class TestCluster implements AutoCloseable {

  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
  private static final int FIRST_PORT = 12_000;
  private static final int LAST_PORT = 32_000;
  private static final Set<Integer> USED_PORTS = ConcurrentHashMap.newKeySet();

  private final Path folder;
  private final PlatformStandIn platform = new PlatformStandIn();
  private final Map<String, RoleProcess> processes = new LinkedHashMap<>();
  private final Map<String, URI> httpUris = new LinkedHashMap<>();
  private final Map<String, ListedInstance> listed = new LinkedHashMap<>();
  private final Map<String, Integer> linkPorts = new LinkedHashMap<>();

  private URI platformUri;

  private TestCluster(Path folder) {
    this.folder = folder;
  }

  static TestCluster start(Path folder) {
    TestCluster cluster = new TestCluster(folder);
    cluster.platform.start();
    cluster.platformUri = cluster.platform.uri();
    return cluster;
  }

  PlatformStandIn platform() {
    return platform;
  }

  /** Sets the platform address of the processes that are started from now on. */
  void setPlatformUri(URI uri) {
    platformUri = uri;
  }

  RoleProcess process(String name) {
    return processes.get(name);
  }

  URI http(String name) {
    return httpUris.get(name);
  }

  int linkPort(String name) {
    return linkPorts.get(name);
  }

  void startEntry(String name, String zone) throws IOException {
    launch("entry", name, zone, "", "");
  }

  void startSidecar(String name, String zone, String service, String kind, URI endpoint)
      throws IOException {
    String section =
        "[endpoint]\nservice = %s\nkind = %s\nurl = %s\n".formatted(service, kind, endpoint);
    launch("sidecar", name, zone, section, service);
  }

  /**
   * Lists an instance with the port of a new proxy in front of its link port. Must be called before
   * the entries start.
   */
  FaultProxy proxyLinks(String name) throws IOException {
    ListedInstance i = listed.get(name);
    FaultProxy proxy = FaultProxy.forTarget(i.host(), i.port());
    proxy.start();
    platform.putInstance(
        new ListedInstance(
            i.instance(), i.role(), i.zone(), i.host(), proxy.port(), false, i.service()));
    return proxy;
  }

  void publish(String profile, String document) {
    ProfileChange change =
        new ProfileChange(
            UUID.randomUUID().toString(),
            ProfileChange.Kind.PUBLISH,
            new ProfileName(profile),
            Revision.NONE,
            document,
            "test");
    HttpPlatform.at(platform.uri()).append(LogRecords.encode(change)).join();
  }

  /** Marks an instance as leaving in the instance list. */
  void listLeaving(String name) {
    ListedInstance i = listed.get(name);
    platform.putInstance(
        new ListedInstance(
            i.instance(), i.role(), i.zone(), i.host(), i.port(), true, i.service()));
  }

  /** Starts a proxy for the link port of an instance and lists the instance with its port. */
  FaultProxy listBehindProxy(String name) throws IOException {
    ListedInstance i = listed.get(name);
    FaultProxy proxy = FaultProxy.forTarget(i.host(), i.port());
    proxy.start();
    platform.putInstance(
        new ListedInstance(
            i.instance(), i.role(), i.zone(), i.host(), proxy.port(), false, i.service()));
    return proxy;
  }

  /** Waits until every process is ready. */
  void awaitReady() {
    httpUris.values().forEach(uri -> await("ready: " + uri, () -> isReady(uri)));
  }

  /** Waits until an entry has links to the given number of sidecars. */
  void awaitLinks(String entry, int count) {
    await(entry + " has " + count + " links", () -> state(entry).contains("\"links\":" + count));
  }

  String state(String name) {
    return WebClient.of(httpUris.get(name)).get("/state").aggregate().join().contentUtf8();
  }

  static void await(String what, BooleanSupplier condition) {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("timed out waiting for: " + what);
      }
      LockSupport.parkNanos(POLL_INTERVAL.toNanos());
    }
  }

  @Override
  public void close() {
    for (RoleProcess p : processes.values()) {
      p.kill();
    }
    platform.stop();
  }

  private void launch(String role, String name, String zone, String extraSections, String service)
      throws IOException {
    List<Integer> ports = List.of(LoopbackPorts.next(), LoopbackPorts.next());
    String ini =
        "[instance]\nid = %s\nzone = %s\nhttp = 127.0.0.1:%d\nlink = 127.0.0.1:%d\n"
                .formatted(name, zone, ports.get(0), ports.get(1))
            + "[platform]\nurl = %s\n".formatted(platformUri)
            + extraSections;
    processes.put(name, RoleProcess.start(role, folder, name, ini));
    linkPorts.put(name, ports.get(1));
    httpUris.put(name, URI.create("http://127.0.0.1:" + ports.get(0)));
    ListedInstance listedInstance =
        new ListedInstance(
            new InstanceId(name), role, new Zone(zone), "127.0.0.1", ports.get(1), false, service);
    listed.put(name, listedInstance);
    platform.putInstance(listedInstance);
  }

  static boolean isReady(URI uri) {
    try {
      return WebClient.of(uri)
          .get("/health/ready")
          .aggregate()
          .join()
          .status()
          .equals(HttpStatus.OK);
    } catch (java.util.concurrent.CompletionException e) {
      return false;
    }
  }
}
