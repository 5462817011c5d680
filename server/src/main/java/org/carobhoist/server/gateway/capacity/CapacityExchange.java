package org.carobhoist.server.gateway.capacity;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.carobhoist.core.capacity.CapacityAggregator;
import org.carobhoist.core.capacity.CapacityEstimate;
import org.carobhoist.core.capacity.CapacityPolicy;
import org.carobhoist.core.capacity.CapacityTable;
import org.carobhoist.core.capacity.LatencySums;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.membership.EndpointDirectory;
import org.carobhoist.core.routing.EndpointView;
import org.carobhoist.server.link.proto.CapacityUpdate;
import org.carobhoist.server.link.proto.LatencyReport;
import org.carobhoist.server.link.proto.LinkFrame;

/**
 * Sends this gateway's measurements to the coordinator and receives its estimates; while this
 * process coordinates, merges the measurements of all gateways and sends the estimates. Lost
 * messages are not repeated: later measurements replace them, and estimates expire.
 */
public final class CapacityExchange {

  /** Interval between two messages to the same process. */
  public static final Duration PERIOD = Duration.ofMillis(500);

  /**
   * Maximum number of endpoints per message. Reports and updates together then stay under 1 KB per
   * second and gateway, also with many endpoints.
   */
  static final int MAX_ENDPOINTS = 7;

  /** Interval after which an update without changes confirms the earlier ones. */
  private static final Duration CONFIRM_PERIOD = Duration.ofSeconds(1);

  private final InstanceId self;
  private final Clock clock;
  private final CapacityTable table;
  private final EndpointDirectory directory;
  private final Coordination coordination;
  private final CapacityAggregator aggregator;
  private Optional<Consumer<LinkFrame>> coordinator = Optional.empty();
  private long coordinatorTerm = -1;
  private long ownTerm = -1;
  private Duration sentAt = Duration.ZERO;

  /** The coordinator's role of this process, and its links to the other gateways. */
  public interface Coordination {

    /** Returns whether this process coordinates. */
    boolean isActive();

    /** Returns the term of the lease. */
    long term();

    /** Returns the gateways to which this process has a link. */
    Collection<InstanceId> peers();

    /** Sends a frame to a gateway. */
    void send(InstanceId peer, LinkFrame frame);
  }

  /** Creates an exchange that knows no coordinator. */
  public CapacityExchange(
      InstanceId self,
      Clock clock,
      CapacityTable table,
      EndpointDirectory directory,
      Coordination coordination) {
    this.self = self;
    this.clock = clock;
    this.table = table;
    this.directory = directory;
    this.coordination = coordination;
    this.aggregator = CapacityAggregator.create(CapacityPolicy.DEFAULT, clock);
  }

  /** Called when a coordinator attaches to this gateway; one with a lower term is ignored. */
  public void onAttach(long term, Consumer<LinkFrame> link) {
    if (term >= coordinatorTerm) {
      coordinatorTerm = term;
      coordinator = Optional.of(link);
    }
  }

  /** Called when a link to a gateway has been established; it may know no estimates. */
  public void onPeerUp() {
    aggregator.resendAll();
  }

  /** Called with the estimates of the coordinator. */
  public void onUpdate(CapacityUpdate update) {
    if (update.getTerm() == coordinatorTerm && !coordination.isActive()) {
      table.onShared(CapacityMapper.estimates(update));
    }
  }

  /** Called with the measurements of a gateway. */
  public void onReport(InstanceId peer, LatencyReport report) {
    if (isCoordinating() && report.getTerm() == ownTerm) {
      merge(peer, CapacityMapper.sums(report));
    }
  }

  /** Sends what is new; must be called every {@link #PERIOD}. */
  public void tick() {
    if (isCoordinating()) {
      merge(self, table.takeSums(Integer.MAX_VALUE));
      sendUpdate();
      return;
    }
    if (coordinator.isEmpty()) {
      table.takeSums(Integer.MAX_VALUE);
      return;
    }
    Map<InstanceId, LatencySums> sums = table.takeSums(MAX_ENDPOINTS);
    if (!sums.isEmpty()) {
      coordinator.get().accept(CapacityMapper.reportFrame(coordinatorTerm, sums));
    }
  }

  /** Returns whether this process coordinates; a new term starts without measurements. */
  private boolean isCoordinating() {
    if (!coordination.isActive()) {
      return false;
    }
    if (ownTerm != coordination.term()) {
      ownTerm = coordination.term();
      aggregator.clear();
    }
    return true;
  }

  private void merge(InstanceId gateway, Map<InstanceId, LatencySums> sums) {
    sums.forEach(
        (endpoint, s) ->
            directory
                .viewOf(endpoint)
                .map(EndpointView::limit)
                .ifPresent(slots -> aggregator.onSums(gateway, endpoint, s, slots)));
  }

  private void sendUpdate() {
    Map<InstanceId, CapacityEstimate> changes = aggregator.takeChanges(MAX_ENDPOINTS);
    Duration now = clock.elapsed();
    if (changes.isEmpty() && now.minus(sentAt).compareTo(CONFIRM_PERIOD) < 0) {
      return;
    }
    sentAt = now;
    table.onShared(changes);
    LinkFrame frame = CapacityMapper.updateFrame(ownTerm, changes);
    coordination.peers().forEach(peer -> coordination.send(peer, frame));
  }
}
