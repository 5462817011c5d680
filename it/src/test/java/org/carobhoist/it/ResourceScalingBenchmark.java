package org.carobhoist.it;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.membership.ListedInstance;
import org.carobhoist.core.settings.SocketAddressText;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.LinkListener;
import org.carobhoist.server.link.LinkNetwork;
import org.carobhoist.server.link.proto.Announcement;
import org.carobhoist.server.link.proto.EndpointKind;
import org.carobhoist.server.link.proto.EndpointPhase;
import org.carobhoist.server.link.proto.Hello;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.Ping;
import org.carobhoist.server.link.proto.Pong;
import org.carobhoist.standin.LoopbackPorts;
import org.carobhoist.standin.PlainServiceStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Benchmark of how resident memory, CPU time and TCP traffic of an entry and of a sidecar grow with
 * the number of links and of profiles. It prints one line of readings for each number. A slope is
 * the increase between two lines divided by the number of links or profiles added.
 *
 * <p>The entry and the sidecar are real processes; their peers are simulated in this JVM and only
 * exchange announcements and heartbeats with them. The benchmark asserts nothing; see
 * docs/CAPACITY.md for the command.
 */
final class ResourceScalingBenchmark {

  private static final int[] ENTRY_LINKS = {24, 48, 96, 192};
  private static final int[] SIDECAR_LINKS = {16, 32, 64, 128};
  private static final int[] PROFILES = {50, 100, 200, 400};
  private static final int LINKS_PER_SERVICE = 24;
  private static final int SAME_ZONE_PER_SERVICE = 16;
  private static final long ANNOUNCE_MILLIS = 4_500;
  private static final long PING_MILLIS = 1_500;
  private static final Duration SETTLE_TIME = Duration.ofSeconds(4);
  private static final Duration MEASURING_TIME = Duration.ofSeconds(8);
  private static final String PROFILE_DOCUMENT =
      "[profile]\nservice = reservas\nkind = plain\n[requests]\nmax-attempts = 2\ndeadline = 5s\n";

  private final Set<Link> links = ConcurrentHashMap.newKeySet();
  private final List<LinkNetwork> networks = new ArrayList<>();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);

  @TempDir private Path folder;

  @Test
  void measure() throws Exception {
    PlainServiceStandIn plain = new PlainServiceStandIn();
    plain.start();
    try (TestCluster cluster = TestCluster.start(folder)) {
      cluster.startEntry("entry-1", "a");
      URI endpoint = plain.uri();
      cluster.startSidecar("sidecar-1", "b", "other", "plain", endpoint);
      cluster.awaitReady();
      timer.scheduleAtFixedRate(this::ping, 1, PING_MILLIS, TimeUnit.MILLISECONDS);
      measureAndPrint(cluster, "entry-1", "links", 1);
      measureEntryByLinks(cluster);
      measureSidecarByLinks(cluster);
      measureEntryByProfiles(cluster);
    } finally {
      timer.shutdownNow();
      networks.forEach(n -> n.stop().join());
      plain.stop();
    }
  }

  private void measureEntryByLinks(TestCluster cluster) throws Exception {
    int started = 0;
    for (int size : ENTRY_LINKS) {
      for (; started < size; started++) {
        addSidecar(cluster, started);
      }
      measureAndPrint(cluster, "entry-1", "links", size + 1);
    }
  }

  /** Starts a simulated sidecar and lists it, so that the entry opens a link to it. */
  private void addSidecar(TestCluster cluster, int i) throws Exception {
    String zone = i % LINKS_PER_SERVICE < SAME_ZONE_PER_SERVICE ? "a" : "b";
    String service = "service-" + i / LINKS_PER_SERVICE;
    int port = LoopbackPorts.next();
    LinkNetwork network =
        createPeerNetwork(
            new SocketAddressText("127.0.0.1", port), "fake-" + i, "sidecar", zone, service);
    network.start().join();
    cluster
        .platform()
        .putInstance(
            new ListedInstance(
                new InstanceId("fake-" + i),
                "sidecar",
                new Zone(zone),
                "127.0.0.1",
                port,
                false,
                service));
  }

  private void measureSidecarByLinks(TestCluster cluster) throws Exception {
    int started = 0;
    int port = cluster.linkPort("sidecar-1");
    for (int size : SIDECAR_LINKS) {
      for (; started < size; started++) {
        SocketAddressText unused = new SocketAddressText("127.0.0.1", 0);
        createPeerNetwork(unused, "fake-entry-" + started, "entry", "a", "")
            .open("127.0.0.1", port)
            .join();
      }
      measureAndPrint(cluster, "sidecar-1", "links", size + 1);
    }
  }

  private void measureEntryByProfiles(TestCluster cluster) throws Exception {
    int started = 0;
    for (int size : PROFILES) {
      for (; started < size; started++) {
        cluster.publish("profile-" + started, PROFILE_DOCUMENT);
      }
      measureAndPrint(cluster, "entry-1", "profiles", size);
    }
  }

  /** Creates the link network of one simulated peer; the caller starts it or opens a link. */
  private LinkNetwork createPeerNetwork(
      SocketAddressText address, String id, String role, String zone, String service) {
    Hello hello =
        Hello.newBuilder()
            .setInstance(id)
            .setRole(role)
            .setZone(zone)
            .setIncarnation(id + "-1")
            .build();
    LinkNetwork network = LinkNetwork.create(address, hello, new SimulatedPeer(service));
    networks.add(network);
    return network;
  }

  private void ping() {
    links.forEach(l -> l.send(LinkFrame.newBuilder().setPing(Ping.newBuilder()).build()));
  }

  /** Measures a process once it has settled and prints one line of readings. */
  private static void measureAndPrint(TestCluster cluster, String name, String dimension, int size)
      throws Exception {
    Thread.sleep(SETTLE_TIME.toMillis());
    long pid = cluster.process(name).pid();
    ProcessFootprint.Reading before = ProcessFootprint.read(pid);
    Thread.sleep(MEASURING_TIME.toMillis());
    ProcessFootprint.Reading now = ProcessFootprint.read(pid);
    double seconds = MEASURING_TIME.toMillis() / 1e3;
    System.out.printf(
        "SLOPE %s %s=%d rss=%.1fMB cpu=%.2f%% tcp=%.2fKB/s%n",
        name,
        dimension,
        size,
        now.rssKilobytes() / 1024.0,
        100.0 * (now.ticks() - before.ticks()) / ProcessFootprint.TICKS_PER_SECOND / seconds,
        ProcessFootprint.tcpBytes(before, now) / 1024.0 / seconds);
  }

  /** Simulated peer that responds to heartbeats and, if it has a service, announces itself. */
  private final class SimulatedPeer implements LinkListener {

    private final String service;
    private long sequence;

    private SimulatedPeer(String service) {
      this.service = service;
    }

    @Override
    public void onUp(Link link) {
      links.add(link);
      if (!service.isEmpty()) {
        timer.scheduleAtFixedRate(
            () -> link.send(announcement()), 0, ANNOUNCE_MILLIS, TimeUnit.MILLISECONDS);
      }
    }

    @Override
    public void onFrame(Link link, LinkFrame frame) {
      if (frame.hasPing()) {
        Pong pong = Pong.newBuilder().setNonce(frame.getPing().getNonce()).build();
        link.send(LinkFrame.newBuilder().setPong(pong).build());
      }
    }

    @Override
    public void onDown(Link link) {
      links.remove(link);
    }

    private LinkFrame announcement() {
      sequence++;
      Announcement a =
          Announcement.newBuilder()
              .setService(service)
              .setKind(EndpointKind.ENDPOINT_KIND_PLAIN)
              .setPhase(EndpointPhase.ENDPOINT_PHASE_SERVING)
              .setInFlight((int) (sequence % 7))
              .setLimit(32)
              .setSequence(sequence)
              .build();
      return LinkFrame.newBuilder().setAnnouncement(a).build();
    }
  }
}
