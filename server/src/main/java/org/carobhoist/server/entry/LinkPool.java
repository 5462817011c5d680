package org.carobhoist.server.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.membership.EndpointDirectory;
import org.carobhoist.core.membership.LinkMonitor;
import org.carobhoist.core.membership.LinkSubset;
import org.carobhoist.core.membership.ListedInstance;
import org.carobhoist.core.routing.EndpointView;
import org.carobhoist.server.link.AnnouncementMapper;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.LinkNetwork;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.Ping;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.logservice.InstanceList;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Maintains the links to sidecars and the directory of endpoints. The pool links a subset of the
 * listed sidecars of each service, enlarges the subset while no linked sidecar has free capacity,
 * and links any other sidecar on demand. A lost link is reopened with exponential backoff, even if
 * the instance list no longer contains the sidecar, because absence from the list doesn't mean that
 * the sidecar has failed.
 */
final class LinkPool {

  private static final Duration LIST_PERIOD_MIN = Duration.ofMillis(500);
  private static final Duration LIST_PERIOD_MAX = Duration.ofSeconds(5);
  private static final double LIST_JITTER = 0.2;
  private static final Duration RETRY_DELAY_MIN = Duration.ofMillis(250);
  private static final Duration RETRY_DELAY_MAX = Duration.ofSeconds(5);

  /** Time after which a sidecar is removed if it is neither listed nor linked. */
  private static final Duration TARGET_RETENTION = Duration.ofMinutes(10);

  private static final Duration SUBSET_GROWTH_PERIOD = Duration.ofSeconds(2);
  private static final int MAX_SUBSET_FACTOR = 16;
  private static final String SIDECAR_ROLE = "sidecar";
  private static final String ENTRY_ROLE = "entry";

  private final InstanceId self;
  private final Zone zone;
  private final DecisionLoop loop;
  private final Clock clock;
  private final InstanceList list;
  private final RandomGenerator random;
  private final EndpointDirectory directory = EndpointDirectory.create();
  private final LinkMonitor<Link> monitor;
  private final Map<InstanceId, Link> links = new HashMap<>();
  private final Map<InstanceId, Target> targets = new HashMap<>();
  private final Map<String, Integer> subsetFactors = new HashMap<>();
  private LinkNetwork network;
  private boolean listReachable = true;
  private Duration listPeriod = LIST_PERIOD_MIN;
  private List<ListedInstance> lastList = List.of();

  /** A sidecar that is or was in the instance list, and the state of the attempts to link it. */
  private static final class Target {
    private ListedInstance listing;
    private Duration listedAt;
    private boolean inSubset;
    private boolean requested;
    private boolean opening;
    private Duration retryDelay = RETRY_DELAY_MIN;
    private Duration nextAttemptAt = Duration.ZERO;
  }

  LinkPool(
      InstanceId self,
      Zone zone,
      DecisionLoop loop,
      Clock clock,
      InstanceList list,
      RandomGenerator random) {
    this.self = self;
    this.zone = zone;
    this.loop = loop;
    this.clock = clock;
    this.list = list;
    this.random = random;
    this.monitor = LinkMonitor.create(new Heartbeats(), clock);
  }

  /** Starts to read the instance list and to open links over the given network. */
  void start(LinkNetwork linkNetwork) {
    network = linkNetwork;
    loop.execute(this::refresh);
    loop.every(LinkMonitor.TICK, this::tick);
    loop.every(SUBSET_GROWTH_PERIOD, this::enlargeSubsets);
  }

  EndpointDirectory directory() {
    return directory;
  }

  /** Returns the link to a sidecar. If there is none but the sidecar is known, opens one. */
  Optional<Link> link(InstanceId instance) {
    Optional<Link> link = Optional.ofNullable(links.get(instance));
    Target target = targets.get(instance);
    if (link.isEmpty() && target != null) {
      target.requested = true;
      open(target);
    }
    return link;
  }

  Set<InstanceId> linkedInstances() {
    return Set.copyOf(links.keySet());
  }

  /**
   * Called when a link is up. Links of peers that aren't sidecars are ignored.
   *
   * @return the endpoint if the link replaces an older one to it
   */
  Optional<InstanceId> onUp(Link link) {
    if (!link.peer().getRole().equals(SIDECAR_ROLE)) {
      return Optional.empty();
    }
    monitor.onReceived(link);
    Link older = links.put(peerId(link), link);
    if (older == null) {
      return Optional.empty();
    }
    older.close();
    directory.onLinkLost(peerId(link));
    return Optional.of(peerId(link));
  }

  /** Called for every frame that arrives; marks the link as alive. */
  void onReceived(Link link) {
    if (links.get(peerId(link)) == link) {
      monitor.onReceived(link);
    }
  }

  /** Called when a sidecar announces the state of its endpoint; ignored on a replaced link. */
  void onAnnouncement(Link link, LinkFrame frame) {
    if (links.get(peerId(link)) == link) {
      directory.onAnnouncement(
          AnnouncementMapper.fromMessage(link.peer(), frame.getAnnouncement()));
    }
  }

  /**
   * Called when a link is lost.
   *
   * @return the endpoint of the link, or empty if a newer link has replaced it
   */
  Optional<InstanceId> onDown(Link link) {
    monitor.onDown(link);
    if (!links.remove(peerId(link), link)) {
      return Optional.empty();
    }
    directory.onLinkLost(peerId(link));
    return Optional.of(peerId(link));
  }

  static InstanceId peerId(Link link) {
    return new InstanceId(link.peer().getInstance());
  }

  private void refresh() {
    list.read().whenCompleteAsync(Callbacks.reported(this::onInstanceListRead), loop);
  }

  /**
   * Called when a read of the instance list has ended. Updates the known sidecars from the list,
   * opens the links that are missing, and schedules the next read. The next read follows after the
   * shortest period if the list has changed; the period doubles, up to its maximum, while the list
   * doesn't change or can't be read.
   */
  private void onInstanceListRead(List<ListedInstance> listed, Throwable failure) {
    boolean changed = failure == null && !listed.equals(lastList);
    Duration doubled = listPeriod.multipliedBy(2);
    Duration longer = doubled.compareTo(LIST_PERIOD_MAX) < 0 ? doubled : LIST_PERIOD_MAX;
    listPeriod = changed ? LIST_PERIOD_MIN : longer;
    double jitter = 1 + LIST_JITTER * (2 * random.nextDouble() - 1);
    loop.after(Duration.ofNanos((long) (listPeriod.toNanos() * jitter)), this::refresh);
    if (failure != null) {
      if (listReachable) {
        EventLog.warn(LogEvent.LIST_UNREACHABLE, "cause", failure.getMessage());
      }
      listReachable = false;
      return;
    }
    listReachable = true;
    lastList = listed;
    listed.stream().filter(i -> i.role().equals(SIDECAR_ROLE)).forEach(this::onSidecarListed);
    chooseSubset();
    openMissingLinks();
  }

  /** Called for each sidecar in the instance list; resets the retry delay if its data changed. */
  private void onSidecarListed(ListedInstance i) {
    directory.onListed(i.instance(), i.leaving());
    Target target = targets.computeIfAbsent(i.instance(), key -> new Target());
    if (!i.equals(target.listing)) {
      target.retryDelay = RETRY_DELAY_MIN;
      target.nextAttemptAt = Duration.ZERO;
    }
    target.listing = i;
    target.listedAt = clock.elapsed();
  }

  private void chooseSubset() {
    Map<String, List<ListedInstance>> services =
        targets.values().stream()
            .map(t -> t.listing)
            .filter(i -> !i.leaving())
            .collect(Collectors.groupingBy(ListedInstance::service));
    Set<InstanceId> selected = new HashSet<>();
    services.forEach(
        (service, sidecars) ->
            selected.addAll(
                LinkSubset.choose(self, zone, sidecars, subsetFactors.getOrDefault(service, 1))));
    selected.addAll(LinkSubset.assigned(self, listedEntries(), targets.keySet()));
    targets.forEach((id, target) -> target.inSubset = selected.contains(id));
  }

  private List<InstanceId> listedEntries() {
    return lastList.stream()
        .filter(i -> i.role().equals(ENTRY_ROLE) && !i.leaving())
        .map(ListedInstance::instance)
        .toList();
  }

  private void tick() {
    monitor.tick();
    openMissingLinks();
  }

  private void openMissingLinks() {
    Duration cutoff = clock.elapsed().minus(TARGET_RETENTION);
    targets
        .entrySet()
        .removeIf(
            e -> !links.containsKey(e.getKey()) && e.getValue().listedAt.compareTo(cutoff) < 0);
    List.copyOf(targets.values()).forEach(this::open);
  }

  private void open(Target target) {
    InstanceId id = target.listing.instance();
    boolean needed = (target.inSubset || target.requested) && !links.containsKey(id);
    if (!needed || target.opening || clock.elapsed().compareTo(target.nextAttemptAt) < 0) {
      return;
    }
    target.opening = true;
    network
        .open(target.listing.host(), target.listing.port())
        .whenCompleteAsync(Callbacks.reported((ok, failure) -> onOpened(target, failure)), loop);
  }

  private void onOpened(Target target, Throwable failure) {
    target.opening = false;
    Duration doubled = target.retryDelay.multipliedBy(2);
    Duration longer = doubled.compareTo(RETRY_DELAY_MAX) < 0 ? doubled : RETRY_DELAY_MAX;
    target.retryDelay = failure == null ? RETRY_DELAY_MIN : longer;
    // Also wait after success; otherwise a link that always breaks at once would be reopened in a
    // tight loop.
    target.nextAttemptAt = clock.elapsed().plus(target.retryDelay);
  }

  /** Doubles the subset of each service whose linked endpoints are all full or unusable. */
  private void enlargeSubsets() {
    Map<String, List<EndpointView>> services =
        directory.views().stream().collect(Collectors.groupingBy(v -> v.service().value()));
    boolean changed = false;
    for (Map.Entry<String, List<EndpointView>> e : services.entrySet()) {
      int factor = subsetFactors.getOrDefault(e.getKey(), 1);
      boolean full = e.getValue().stream().noneMatch(v -> v.usable() && v.load() < 1);
      if (full && factor < MAX_SUBSET_FACTOR) {
        subsetFactors.put(e.getKey(), factor * 2);
        changed = true;
      }
    }
    if (changed) {
      chooseSubset();
      openMissingLinks();
    }
  }

  private static final class Heartbeats implements LinkMonitor.Port<Link> {

    @Override
    public void ping(Link link) {
      link.send(LinkFrame.newBuilder().setPing(Ping.getDefaultInstance()).build());
    }

    @Override
    public void declareDead(Link link) {
      EventLog.warn(LogEvent.LINK_SILENT, "peer", link.peer().getInstance());
      link.close();
    }
  }
}
