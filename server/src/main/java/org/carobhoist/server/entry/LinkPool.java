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
 * Keeps links to sidecars, and the directory of endpoints. For each service a subset of the listed
 * sidecars is linked; more are linked while none of those has room, and any one on demand. A link
 * that broke is opened again with growing delays, also if the instance list no longer names its
 * sidecar: absent doesn't mean dead.
 */
final class LinkPool {

  private static final Duration LIST_PERIOD_MIN = Duration.ofMillis(500);
  private static final Duration LIST_PERIOD_MAX = Duration.ofSeconds(5);
  private static final double LIST_JITTER = 0.2;
  private static final Duration RETRY_MIN = Duration.ofMillis(250);
  private static final Duration RETRY_MAX = Duration.ofSeconds(5);
  private static final Duration FORGET = Duration.ofMinutes(10);
  private static final Duration WIDEN_PERIOD = Duration.ofSeconds(2);
  private static final int MAX_FACTOR = 16;
  private static final String SIDECAR = "sidecar";
  private static final String ENTRY = "entry";

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
  private final Map<String, Integer> factors = new HashMap<>();
  private LinkNetwork network;
  private boolean listReachable = true;
  private Duration listPeriod = LIST_PERIOD_MIN;
  private List<ListedInstance> lastList = List.of();

  /** A sidecar that was listed at some time, and the attempts to link it. */
  private static final class Target {
    private ListedInstance line;
    private Duration listedAt;
    private boolean wanted;
    private boolean demanded;
    private boolean opening;
    private Duration delay = RETRY_MIN;
    private Duration notBefore = Duration.ZERO;
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

  /** Begins to open links over the network. */
  void start(LinkNetwork over) {
    network = over;
    loop.execute(this::refresh);
    loop.every(LinkMonitor.TICK, this::tick);
    loop.every(WIDEN_PERIOD, this::widen);
  }

  EndpointDirectory directory() {
    return directory;
  }

  /** Returns the link to a sidecar; one that is only listed is linked soon because of this. */
  Optional<Link> link(InstanceId instance) {
    Optional<Link> link = Optional.ofNullable(links.get(instance));
    Target target = targets.get(instance);
    if (link.isEmpty() && target != null) {
      target.demanded = true;
      open(target);
    }
    return link;
  }

  Set<InstanceId> linked() {
    return Set.copyOf(links.keySet());
  }

  /** Takes a link that is up; returns the endpoint whose older link it replaces. */
  Optional<InstanceId> onUp(Link link) {
    if (!link.peer().getRole().equals(SIDECAR)) {
      return Optional.empty();
    }
    monitor.onHeard(link);
    Link older = links.put(peer(link), link);
    if (older == null) {
      return Optional.empty();
    }
    older.close();
    directory.onLinkLost(peer(link));
    return Optional.of(peer(link));
  }

  /** Takes note of any frame of a link, which proves that it lives. */
  void onHeard(Link link) {
    if (links.get(peer(link)) == link) {
      monitor.onHeard(link);
    }
  }

  /** Takes an announcement. */
  void onAnnouncement(Link link, LinkFrame frame) {
    if (links.get(peer(link)) == link) {
      directory.onAnnouncement(
          AnnouncementMapper.fromMessage(link.peer(), frame.getAnnouncement()));
    }
  }

  /** Takes the loss of a link; returns the endpoint behind it, unless a newer link leads there. */
  Optional<InstanceId> onDown(Link link) {
    monitor.onDown(link);
    if (!links.remove(peer(link), link)) {
      return Optional.empty();
    }
    directory.onLinkLost(peer(link));
    return Optional.of(peer(link));
  }

  static InstanceId peer(Link link) {
    return new InstanceId(link.peer().getInstance());
  }

  private void refresh() {
    list.read().whenCompleteAsync(this::onList, loop);
  }

  /** The list is read often while it changes, and seldom while it doesn't. */
  private void onList(List<ListedInstance> listed, Throwable failure) {
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
    listed.stream().filter(i -> i.role().equals(SIDECAR)).forEach(this::onListed);
    chooseSubset();
    openMissing();
  }

  private void onListed(ListedInstance i) {
    directory.onListed(i.instance(), i.leaving());
    Target target = targets.computeIfAbsent(i.instance(), key -> new Target());
    if (!i.equals(target.line)) {
      target.delay = RETRY_MIN;
      target.notBefore = Duration.ZERO;
    }
    target.line = i;
    target.listedAt = clock.elapsed();
  }

  private void chooseSubset() {
    Map<String, List<ListedInstance>> services =
        targets.values().stream()
            .map(t -> t.line)
            .filter(i -> !i.leaving())
            .collect(Collectors.groupingBy(ListedInstance::service));
    Set<InstanceId> wanted = new HashSet<>();
    services.forEach(
        (service, sidecars) ->
            wanted.addAll(
                LinkSubset.choose(self, zone, sidecars, factors.getOrDefault(service, 1))));
    wanted.addAll(LinkSubset.owed(self, listedEntries(), targets.keySet()));
    targets.forEach((id, target) -> target.wanted = wanted.contains(id));
  }

  private List<InstanceId> listedEntries() {
    return lastList.stream()
        .filter(i -> i.role().equals(ENTRY) && !i.leaving())
        .map(ListedInstance::instance)
        .toList();
  }

  private void tick() {
    monitor.tick();
    openMissing();
  }

  private void openMissing() {
    Duration oldest = clock.elapsed().minus(FORGET);
    targets
        .entrySet()
        .removeIf(
            e -> !links.containsKey(e.getKey()) && e.getValue().listedAt.compareTo(oldest) < 0);
    List.copyOf(targets.values()).forEach(this::open);
  }

  private void open(Target target) {
    InstanceId id = target.line.instance();
    boolean needed = (target.wanted || target.demanded) && !links.containsKey(id);
    if (!needed || target.opening || clock.elapsed().compareTo(target.notBefore) < 0) {
      return;
    }
    target.opening = true;
    network
        .open(target.line.host(), target.line.port())
        .whenCompleteAsync((ok, failure) -> onOpened(target, failure), loop);
  }

  private void onOpened(Target target, Throwable failure) {
    target.opening = false;
    Duration doubled = target.delay.multipliedBy(2);
    Duration longer = doubled.compareTo(RETRY_MAX) < 0 ? doubled : RETRY_MAX;
    target.delay = failure == null ? RETRY_MIN : longer;
    // Also after success: a link that breaks at once isn't opened without end.
    target.notBefore = clock.elapsed().plus(target.delay);
  }

  /** Links more sidecars of a service while every linked one is full or unusable. */
  private void widen() {
    Map<String, List<EndpointView>> services =
        directory.views().stream().collect(Collectors.groupingBy(v -> v.service().value()));
    boolean changed = false;
    for (Map.Entry<String, List<EndpointView>> e : services.entrySet()) {
      int factor = factors.getOrDefault(e.getKey(), 1);
      boolean full = e.getValue().stream().noneMatch(v -> v.usable() && v.load() < 1);
      if (full && factor < MAX_FACTOR) {
        factors.put(e.getKey(), factor * 2);
        changed = true;
      }
    }
    if (changed) {
      chooseSubset();
      openMissing();
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
