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
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.limit.AdmissionQueue;
import org.carobhoist.core.membership.AnnouncementPacer;
import org.carobhoist.core.membership.EndpointAnnouncement;
import org.carobhoist.core.membership.EndpointLife;
import org.carobhoist.core.membership.EndpointLifePort;
import org.carobhoist.core.membership.EndpointLifeState;
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
 * endpoint and reads this instance's line of the instance list. It also sends announcements over
 * the links, monitors the links with heartbeats, and coordinates the planned stop. Used on the
 * decision loop only.
 */
final class EndpointKeeper implements EndpointLifePort {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final byte[] NO_CONTENT = {};
  private static final Duration PROBE_PERIOD = Duration.ofSeconds(1);
  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration GRACE = Duration.ofMillis(500);
  private static final Duration IDLE_POLL = Duration.ofMillis(20);
  private static final Duration DRAIN_LIMIT = Duration.ofMinutes(2);
  private static final Duration FLUSH_LIMIT = Duration.ofSeconds(5);

  private final InstanceId self;
  private final DecisionLoop loop;
  private final AdmissionQueue queue;
  private final EndpointClient endpoint;
  private final InstanceList list;
  private final LongFunction<EndpointAnnouncement> announcement;
  private final EndpointLife life = EndpointLife.create(this);
  private final AnnouncementPacer pacer;
  private final LinkMonitor<Link> monitor;
  private final Set<Link> links = new HashSet<>();
  private final Set<Link> unread = new HashSet<>();
  private final CompletableFuture<Void> finished = new CompletableFuture<>();
  private boolean leavingByList;
  private boolean leavingByEndpoint;
  private long sequence;
  private long flushNonce;

  /**
   * Creates an instance that hasn't started.
   *
   * @param announcement creates the announcement with a given sequence number
   */
  EndpointKeeper(
      InstanceId self,
      DecisionLoop loop,
      Clock clock,
      AdmissionQueue queue,
      EndpointClient endpoint,
      InstanceList list,
      LongFunction<EndpointAnnouncement> announcement) {
    this.self = self;
    this.loop = loop;
    this.queue = queue;
    this.endpoint = endpoint;
    this.list = list;
    this.announcement = announcement;
    this.pacer = AnnouncementPacer.create(clock);
    this.monitor = LinkMonitor.create(new Heartbeats(), clock);
  }

  /** Starts; the future completes after the first probe, whether it succeeded or failed. */
  CompletableFuture<Void> start() {
    loop.every(LinkMonitor.TICK, monitor::tick);
    loop.execute(this::readList);
    return probe();
  }

  /** Starts the planned stop; the future completes when the process may exit. */
  CompletableFuture<Void> stop() {
    loop.execute(life::onStop);
    return finished;
  }

  EndpointPhase phase() {
    return life.phase();
  }

  EndpointLifeState state() {
    return life.state();
  }

  /** Returns the number of links that are up. */
  int links() {
    return links.size();
  }

  /** Called when a link is established. */
  void onUp(Link link) {
    links.add(link);
    monitor.onHeard(link);
    send(link, announcement.apply(sequence));
  }

  /** Called when a link is closed or lost. */
  void onDown(Link link) {
    links.remove(link);
    monitor.onDown(link);
    onRead(link);
  }

  /**
   * Called for every frame received on a link, since any frame shows that the link is alive.
   *
   * @return whether the frame was a heartbeat and needs no further handling
   */
  boolean onFrame(Link link, LinkFrame frame) {
    monitor.onHeard(link);
    switch (frame.getBodyCase()) {
      case PING -> pong(link, frame.getPing().getNonce());
      case PONG -> {
        if (frame.getPong().getNonce() == flushNonce) {
          onRead(link);
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
    if (pacer.isDue(announcement.apply(sequence), links.size())) {
      announce();
    }
  }

  @Override
  public void announce() {
    EndpointAnnouncement a = announcement.apply(++sequence);
    pacer.onSent(a);
    links.forEach(link -> send(link, a));
  }

  @Override
  public void startGrace() {
    EventLog.info(LogEvent.ENDPOINT_LEAVING, "instance", self, "running", queue.running());
    loop.after(GRACE, life::onGraceOver);
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
  public void awaitIdle() {
    loop.after(DRAIN_LIMIT, life::onLimit);
    pollIdle();
  }

  @Override
  public void flush() {
    unread.addAll(links);
    flushNonce = ++sequence;
    links.forEach(link -> ping(link, flushNonce));
    loop.after(FLUSH_LIMIT, life::onLimit);
    endFlushIfRead();
  }

  @Override
  public void finish() {
    finished.complete(null);
  }

  private void onRead(Link link) {
    if (unread.remove(link)) {
      endFlushIfRead();
    }
  }

  private void endFlushIfRead() {
    if (unread.isEmpty()) {
      life.onFlushed();
    }
  }

  private void pollIdle() {
    if (queue.isIdle()) {
      life.onIdle();
    } else if (life.state() == EndpointLifeState.DRAINING) {
      loop.after(IDLE_POLL, this::pollIdle);
    }
  }

  private CompletableFuture<Void> probe() {
    return endpoint
        .call(RequestHeaders.of(HttpMethod.GET, "/load"), NO_CONTENT)
        .orTimeout(PROBE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .handleAsync(this::onProbe, loop);
  }

  private Void onProbe(AggregatedHttpResponse answer, Throwable failure) {
    boolean answered = failure == null && !answer.status().equals(HttpStatus.SERVICE_UNAVAILABLE);
    EndpointPhase before = life.phase();
    life.onProbe(answered);
    if (life.phase() != before) {
      EventLog.info(LogEvent.ENDPOINT_PHASE, "instance", self, "phase", life.phase());
    }
    if (answered) {
      onLoad(answer);
    }
    loop.after(PROBE_PERIOD, this::probe);
    return null;
  }

  private void onLoad(AggregatedHttpResponse answer) {
    try {
      JsonNode load = JSON.readTree(answer.content().array());
      if (load.hasNonNull("kvFreeTokens")) {
        queue.onKvFree(load.get("kvFreeTokens").asLong());
      }
      leavingByEndpoint = load.path("leaving").asBoolean();
      life.onLeaving(leavingByList || leavingByEndpoint);
    } catch (IOException e) {
      // The load report is optional: an endpoint that answers without one still counts as healthy.
    }
  }

  /** Reads only this instance's line of the list, which is small enough to read once a second. */
  private void readList() {
    list.read(self)
        .whenCompleteAsync(
            (line, failure) -> {
              if (failure == null) {
                leavingByList = line.map(ListedInstance::leaving).orElse(leavingByList);
                life.onLeaving(leavingByList || leavingByEndpoint);
              }
              loop.after(PROBE_PERIOD, this::readList);
            },
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
      EndpointKeeper.ping(link, 0);
    }

    @Override
    public void declareDead(Link link) {
      EventLog.warn(LogEvent.LINK_SILENT, "peer", link.peer().getInstance());
      link.close();
    }
  }
}
