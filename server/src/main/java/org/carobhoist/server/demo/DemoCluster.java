package org.carobhoist.server.demo;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.membership.ListedInstance;
import org.carobhoist.core.profile.ProfileChange;
import org.carobhoist.core.profile.Revision;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.core.settings.SocketAddressText;
import org.carobhoist.server.entry.EntryService;
import org.carobhoist.server.logservice.HttpPlatform;
import org.carobhoist.server.logservice.LogRecords;
import org.carobhoist.server.runtime.Service;
import org.carobhoist.server.settings.SettingsLoader;
import org.carobhoist.server.sidecar.SidecarService;
import org.carobhoist.standin.EngineStandIn;
import org.carobhoist.standin.LoopbackPorts;
import org.carobhoist.standin.PlainServiceStandIn;
import org.carobhoist.standin.PlatformStandIn;

/**
 * The demo's platform, endpoints, sidecars and entries, in three availability zones. Roles are
 * created from settings text, in the same way as the commands create them from files.
 */
final class DemoCluster {

  static final String MODEL = "horno-lm";
  static final String BOOKINGS = "reservas";

  private static final List<String> ZONES = List.of("centro-a", "centro-b", "centro-c");
  private static final Duration CHUNK_TIME = Duration.ofMillis(8);
  private static final int ENGINES = 3;
  private static final int BOOKING_SERVICES = 2;
  private static final int ENTRIES = 2;

  private final PlatformStandIn platform = new PlatformStandIn();
  private final List<EngineStandIn> engines = new ArrayList<>();
  private final List<PlainServiceStandIn> bookingServices = new ArrayList<>();
  private final List<URI> entries = new ArrayList<>();
  private final List<Service> entryServices = new ArrayList<>();
  private final List<Service> sidecars = new ArrayList<>();

  private DemoCluster() {}

  /** Starts all processes and returns once they have started. */
  static DemoCluster start() throws SettingsException {
    DemoCluster cluster = new DemoCluster();
    cluster.platform.start();
    for (int i = 0; i < ENGINES; i++) {
      cluster.startEngine(i);
    }
    for (int i = 0; i < BOOKING_SERVICES; i++) {
      cluster.startBookingService(i);
    }
    for (int i = 0; i < ENTRIES; i++) {
      cluster.startEntry(i);
    }
    return cluster;
  }

  /** Returns the base URLs of the entries. */
  List<URI> entries() {
    return List.copyOf(entries);
  }

  List<EngineStandIn> engines() {
    return List.copyOf(engines);
  }

  /** Returns the number of runs of a request body, summed over all booking services. */
  int runs(String body) {
    return bookingServices.stream()
        .mapToInt(p -> Optional.ofNullable(p.runs().get(body)).map(n -> n.get()).orElse(0))
        .sum();
  }

  /** Appends a profile change to the log; the future completes with its offset. */
  CompletableFuture<Long> change(
      ProfileChange.Kind kind, String profile, long base, String document) {
    ProfileChange change =
        new ProfileChange(
            UUID.randomUUID().toString(),
            kind,
            new ProfileName(profile),
            new Revision(base),
            document,
            "demo");
    return HttpPlatform.at(platform.uri()).append(LogRecords.encode(change));
  }

  /** Stops the entries, then the sidecars, then the stand-ins. */
  void stop() {
    stopAll(entryServices.stream().map(Service::stop));
    stopAll(sidecars.stream().map(Service::stop));
    stopAll(engines.stream().map(e -> CompletableFuture.runAsync(e::stop)));
    stopAll(bookingServices.stream().map(p -> CompletableFuture.runAsync(p::stop)));
    platform.stop();
  }

  private static void stopAll(Stream<CompletableFuture<Void>> stops) {
    CompletableFuture.allOf(stops.toArray(CompletableFuture[]::new)).join();
  }

  private void startEngine(int i) throws SettingsException {
    EngineStandIn engine = new EngineStandIn();
    engine.setChunkInterval(CHUNK_TIME);
    engine.start();
    engines.add(engine);
    startSidecar("horno-" + (i + 1), i, MODEL, EndpointKind.ENGINE, engine.uri());
  }

  private void startBookingService(int i) throws SettingsException {
    PlainServiceStandIn bookingService = new PlainServiceStandIn();
    bookingService.setDelay(Duration.ofMillis(5));
    bookingService.start();
    bookingServices.add(bookingService);
    startSidecar("reservas-" + (i + 1), i, BOOKINGS, EndpointKind.PLAIN, bookingService.uri());
  }

  private void startSidecar(String id, int i, String service, EndpointKind kind, URI endpoint)
      throws SettingsException {
    SocketAddressText link = nextAddress();
    String ini =
        commonSettings(id, zone(i), nextAddress(), link)
            + "[endpoint]\nservice = %s\nkind = %s\nurl = %s\n"
                .formatted(service, kind.name().toLowerCase(Locale.ROOT), endpoint);
    Service sidecar = SidecarService.create(SettingsLoader.parseSidecar(id, ini));
    sidecar.start().join();
    sidecars.add(sidecar);
    registerInstance(id, "sidecar", zone(i), link, service);
  }

  private void startEntry(int i) throws SettingsException {
    String id = "entry-" + (i + 1);
    SocketAddressText http = nextAddress();
    SocketAddressText link = nextAddress();
    String ini = commonSettings(id, zone(i), http, link);
    Service entry = EntryService.create(SettingsLoader.parseEntry(id, ini));
    entry.start().join();
    entryServices.add(entry);
    registerInstance(id, "entry", zone(i), link, "");
    entries.add(URI.create("http://" + http.host() + ":" + http.port()));
  }

  private void registerInstance(
      String id, String role, String zone, SocketAddressText link, String service) {
    platform.putInstance(
        new ListedInstance(
            new InstanceId(id), role, new Zone(zone), link.host(), link.port(), false, service));
  }

  private String commonSettings(
      String id, String zone, SocketAddressText http, SocketAddressText link) {
    return "[instance]\nid = %s\nzone = %s\nhttp = %s:%d\nlink = %s:%d\n[platform]\nurl = %s\n"
        .formatted(id, zone, http.host(), http.port(), link.host(), link.port(), platform.uri());
  }

  private static SocketAddressText nextAddress() {
    return SocketAddressText.parse("127.0.0.1:" + LoopbackPorts.next());
  }

  private static String zone(int i) {
    return ZONES.get(i % ZONES.size());
  }
}
