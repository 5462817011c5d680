package org.carobhoist.server.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.limit.AdmissionQueue;
import org.carobhoist.core.membership.AnnouncementPacer;
import org.carobhoist.core.membership.EndpointAnnouncement;
import org.carobhoist.core.membership.EndpointLifecycle;
import org.carobhoist.core.membership.EndpointLifecyclePort;
import org.carobhoist.core.membership.EndpointLifecycleState;
import org.carobhoist.core.membership.EndpointPhase;
import org.carobhoist.core.membership.LinkMonitor;
import org.carobhoist.core.membership.ListedInstance;
import org.carobhoist.server.link.AnnouncementMapper;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.Ping;
import org.carobhoist.server.link.proto.Pong;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.logservice.InstanceList;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Monitors the endpoint and announces its state to the entries. Once a second it probes the
 * endpoint and reads this instance's data in the instance list. It also sends announcements over
 * the links, monitors the links with heartbeats, and coordinates the planned stop. Used on the
 * decision loop only.
 */
final class EndpointSupervisor implements EndpointLifecyclePort {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final byte[] NO_CONTENT = {};
  private static final Duration PROBE_PERIOD = Duration.ofSeconds(1);
  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);

  /** Time for entries to learn of the departure before new work is refused. */
  private static final Duration ANNOUNCEMENT_GRACE = Duration.ofMillis(500);

  private static final Duration IDLE_POLL_INTERVAL = Duration.ofMillis(20);
  private static final Duration DRAIN_TIMEOUT = Duration.ofMinutes(2);
  private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(5);

  private final InstanceId self;
  private final DecisionLoop loop;
  private final AdmissionQueue queue;
  private final EndpointClient endpoint;
  private final InstanceList instanceList;
  private final LongFunction<EndpointAnnouncement> announcementFactory;
  private final EndpointLifecycle lifecycle = EndpointLifecycle.create(this);
  private final AnnouncementPacer pacer;
  private final LinkMonitor<Link> linkMonitor;
  private final Set<Link> links = new HashSet<>();
  private final Set<Link> unacknowledgedLinks = new HashSet<>();
  private final CompletableFuture<Void> finished = new CompletableFuture<>();
  private boolean listedAsLeaving;
  private boolean reportedAsLeaving;
  private long sequence;
  private long flushNonce;

  /**
   * Creates a supervisor, which must be started.
   *
   * @param announcementFactory creates the announcement with a given sequence number
   */
  EndpointSupervisor(
      InstanceId self,
      DecisionLoop loop,
      Clock clock,
      AdmissionQueue queue,
      EndpointClient endpoint,
      InstanceList instanceList,
      LongFunction<EndpointAnnouncement> announcementFactory) {
    this.self = self;
    this.loop = loop;
    this.queue = queue;
    this.endpoint = endpoint;
    this.instanceList = instanceList;
    this.announcementFactory = announcementFactory;
    this.pacer = AnnouncementPacer.create(clock);
    this.linkMonitor = LinkMonitor.create(new Heartbeats(), clock);
  }

  /** Starts; the future completes after the first probe, whether it succeeded or failed. */
  CompletableFuture<Void> start() {
    loop.every(LinkMonitor.TICK, linkMonitor::tick);
    loop.execute(this::readInstanceList);
    return probe();
  }

  /** Starts the planned stop; the future completes when the process may exit. */
  CompletableFuture<Void> stop() {
    loop.execute(lifecycle::onStop);
    return finished;
  }

  EndpointPhase phase() {
    return lifecycle.phase();
  }

  EndpointLifecycleState state() {
    return lifecycle.state();
  }

  /** Returns the number of links that are up. */
  int links() {
    return links.size();
  }

  /** Called when a link is established. */
  void onLinkUp(Link link) {
    links.add(link);
    linkMonitor.onReceived(link);
    send(link, announcementFactory.apply(sequence));
  }

  /** Called when a link is closed or lost. */
  void onLinkDown(Link link) {
    links.remove(link);
    linkMonitor.onDown(link);
    onFlushAcknowledged(link);
  }

  /**
   * Called for every frame received on a link, since any frame shows that the link is alive.
   *
   * @return whether the frame was a ping or pong, which needs no further handling
   */
  boolean onFrame(Link link, LinkFrame frame) {
    linkMonitor.onReceived(link);
    switch (frame.getBodyCase()) {
      case PING -> pong(link, frame.getPing().getNonce());
      case PONG -> {
        if (frame.getPong().getNonce() == flushNonce) {
          onFlushAcknowledged(link);
        }
      }
      default -> {
        return false;
      }
    }
    return true;
  }

  /** Sends an announcement if the pacer says one is due; must be called several times a second. */
  void tick() {
    if (pacer.isDue(announcementFactory.apply(sequence), links.size())) {
      announce();
    }
  }

  @Override
  public void announce() {
    EndpointAnnouncement a = announcementFactory.apply(++sequence);
    pacer.onSent(a);
    links.forEach(link -> send(link, a));
  }

  @Override
  public void startGrace() {
    EventLog.info(LogEvent.ENDPOINT_LEAVING, "instance", self, "running", queue.running());
    loop.after(ANNOUNCEMENT_GRACE, lifecycle::onGracePeriodEnded);
  }

  @Override
  public void refuseNew() {
    queue.drain();
  }

  @Override
  public void admitNew() {
    queue.resume();
  }

  @Override
  public void startDrainTimeLimit() {
    loop.after(DRAIN_TIMEOUT, lifecycle::onStepTimeout);
  }

  @Override
  public void awaitIdle() {
    pollIdle();
  }

  /** Pings every link; the pong shows that the entry has read the frames sent before the ping. */
  @Override
  public void flush() {
    unacknowledgedLinks.addAll(links);
    flushNonce = ++sequence;
    links.forEach(link -> ping(link, flushNonce));
    loop.after(FLUSH_TIMEOUT, lifecycle::onStepTimeout);
    completeFlushIfAcknowledged();
  }

  @Override
  public void finish() {
    finished.complete(null);
  }

  private void onFlushAcknowledged(Link link) {
    if (unacknowledgedLinks.remove(link)) {
      completeFlushIfAcknowledged();
    }
  }

  private void completeFlushIfAcknowledged() {
    if (unacknowledgedLinks.isEmpty()) {
      lifecycle.onFlushed();
    }
  }

  private void pollIdle() {
    if (queue.isIdle()) {
      lifecycle.onIdle();
    } else if (lifecycle.isAwaitingIdle()) {
      loop.after(IDLE_POLL_INTERVAL, this::pollIdle);
    }
  }

  private CompletableFuture<Void> probe() {
    return endpoint
        .call(RequestHeaders.of(HttpMethod.GET, "/load"), NO_CONTENT, PROBE_TIMEOUT)
        .handleAsync(
            (response, failure) -> {
              loop.after(PROBE_PERIOD, this::probe);
              Callbacks.runReported(() -> onProbe(response, failure));
              return null;
            },
            loop);
  }

  private void onProbe(AggregatedHttpResponse response, Throwable failure) {
    boolean answered = failure == null && !response.status().equals(HttpStatus.SERVICE_UNAVAILABLE);
    EndpointPhase before = lifecycle.phase();
    lifecycle.onProbe(answered);
    if (lifecycle.phase() != before) {
      EventLog.info(LogEvent.ENDPOINT_PHASE, "instance", self, "phase", lifecycle.phase());
    }
    if (answered) {
      onLoadReport(response);
    }
  }

  private void onLoadReport(AggregatedHttpResponse response) {
    try {
      JsonNode load = JSON.readTree(response.content().array());
      if (load.hasNonNull("kvFreeTokens")) {
        queue.onFreeKvTokens(load.get("kvFreeTokens").asLong());
      }
      reportedAsLeaving = load.path("leaving").asBoolean();
      lifecycle.onLeaving(listedAsLeaving || reportedAsLeaving);
    } catch (IOException e) {
      // The load report is optional: an endpoint that answers without one still counts as healthy.
    }
  }

  /** Reads only this instance's data, which is small enough to be read once a second. */
  private void readInstanceList() {
    instanceList
        .read(self)
        .whenCompleteAsync(
            Callbacks.reported(
                (line, failure) -> {
                  loop.after(PROBE_PERIOD, this::readInstanceList);
                  if (failure == null) {
                    listedAsLeaving = line.map(ListedInstance::leaving).orElse(listedAsLeaving);
                    lifecycle.onLeaving(listedAsLeaving || reportedAsLeaving);
                  }
                }),
            loop);
  }

  private static void send(Link link, EndpointAnnouncement a) {
    link.send(LinkFrame.newBuilder().setAnnouncement(AnnouncementMapper.toMessage(a)).build());
  }

  private static void ping(Link link, long nonce) {
    link.send(LinkFrame.newBuilder().setPing(Ping.newBuilder().setNonce(nonce)).build());
  }

  private static void pong(Link link, long nonce) {
    link.send(LinkFrame.newBuilder().setPong(Pong.newBuilder().setNonce(nonce)).build());
  }

  private static final class Heartbeats implements LinkMonitor.Port<Link> {

    @Override
    public void ping(Link link) {
      EndpointSupervisor.ping(link, 0);
    }

    @Override
    public void declareDead(Link link) {
      EventLog.warn(LogEvent.LINK_SILENT, "peer", link.peer().getInstance());
      link.close();
    }
  }
}
