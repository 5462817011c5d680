package org.carobhoist.server.gateway.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import org.carobhoist.core.capacity.CapacityPolicy;
import org.carobhoist.core.capacity.CapacityTable;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.membership.EndpointAnnouncement;
import org.carobhoist.core.membership.EndpointDirectory;
import org.carobhoist.core.membership.EndpointPhase;
import org.carobhoist.server.link.proto.LinkFrame;
import org.junit.jupiter.api.Test;

/** Gateways that exchange measurements over links that are simulated by calls. */
final class CapacityExchangeTest {

  private static final int SLOTS = 4;
  private static final int ENDPOINTS = 32;
  private static final long SEED = 11;

  private final List<Gateway> gateways = new ArrayList<>();
  private Duration time = Duration.ofSeconds(1);
  private boolean linksUp = true;

  private final class Gateway implements CapacityExchange.Coordination {
    private final InstanceId id;
    private final CapacityTable table = CapacityTable.create(CapacityPolicy.DEFAULT, clock());
    private final CapacityExchange exchange;
    private long term;
    private boolean active;
    private long bytes;

    private Gateway(int number) {
      id = new InstanceId("front-fsd-a-" + number);
      exchange = new CapacityExchange(id, clock(), table, directory(), this);
    }

    private void coordinate(long newTerm) {
      term = newTerm;
      active = true;
      gateways.stream()
          .filter(g -> g != this)
          .forEach(g -> g.exchange.onAttach(newTerm, frame -> receiveReport(g, frame)));
    }

    private void receiveReport(Gateway from, LinkFrame frame) {
      from.bytes += frame.getSerializedSize();
      if (linksUp) {
        exchange.onReport(from.id, frame.getLatencyReport());
      }
    }

    private double expectedMillis(int endpoint) {
      return table.expectedNanos(endpointId(endpoint), 0, 0, SLOTS, 50e6) / 1e6;
    }

    @Override
    public boolean isActive() {
      return active;
    }

    @Override
    public long term() {
      return term;
    }

    @Override
    public Collection<InstanceId> peers() {
      return gateways.stream().filter(g -> g != this).map(g -> g.id).toList();
    }

    @Override
    public void send(InstanceId peer, LinkFrame frame) {
      Gateway to = gateways.stream().filter(g -> g.id.equals(peer)).findFirst().orElseThrow();
      to.bytes += frame.getSerializedSize();
      if (linksUp) {
        to.exchange.onUpdate(frame.getCapacityUpdate());
      }
    }
  }

  /** Guards against a gateway that has to measure a slow endpoint itself. */
  @Test
  void estimatesReachEveryGatewayAndExpireWithoutCoordinator() {
    start(3);
    gateways.get(0).coordinate(7);
    run(3, () -> gateways.get(1).table.onLatency(endpointId(0), 1, 1, SLOTS, millis(200)));
    assertThat(gateways.get(0).expectedMillis(0)).isWithin(10).of(200);
    assertThat(gateways.get(2).expectedMillis(0)).isWithin(10).of(200);
    linksUp = false;
    run(1, () -> {});
    assertThat(gateways.get(2).expectedMillis(0)).isWithin(30).of(200);
    run(10, () -> {});
    assertThat(gateways.get(2).expectedMillis(0)).isWithin(1).of(50);
  }

  /** Guards against a former coordinator whose estimates override those of its successor. */
  @Test
  void messagesOfAnOlderTermAreIgnored() {
    start(3);
    Gateway former = gateways.get(0);
    Gateway successor = gateways.get(1);
    former.coordinate(7);
    successor.coordinate(8);
    successor.term = 8;
    run(
        3,
        () -> {
          former.table.onLatency(endpointId(0), 1, 1, SLOTS, millis(400));
          gateways.get(2).table.onLatency(endpointId(1), 1, 1, SLOTS, millis(200));
        });
    assertThat(gateways.get(2).expectedMillis(0)).isWithin(1).of(50);
    assertThat(gateways.get(2).expectedMillis(1)).isWithin(10).of(200);
  }

  /** Guards against failures that each gateway finds out for itself. */
  @Test
  void endpointThatFailsForTwoGatewaysIsAvoidedByTheThird() {
    start(3);
    gateways.get(0).coordinate(7);
    for (int i = 0; i < 3; i++) {
      gateways.get(0).table.onFailure(endpointId(0), SLOTS);
      gateways.get(1).table.onFailure(endpointId(0), SLOTS);
    }
    gateways.get(1).exchange.tick();
    gateways.get(0).exchange.tick();
    assertThat(gateways.get(2).expectedMillis(0)).isAtLeast(200);
  }

  /** Guards against messages whose size grows with the number of endpoints and their changes. */
  @Test
  void messagesStayUnderOneKilobytePerSecondAndGateway() {
    start(4);
    gateways.get(0).coordinate(1L << 30);
    SplittableRandom random = new SplittableRandom(SEED);
    run(
        30,
        () -> {
          for (Gateway g : gateways) {
            for (int i = 0; i < ENDPOINTS; i++) {
              Duration latency = millis(20 + random.nextInt(2_000));
              g.table.onLatency(endpointId(i), 1 + random.nextInt(SLOTS), 9, SLOTS, latency);
            }
          }
        });
    for (Gateway g : gateways.subList(1, 4)) {
      assertThat(g.bytes / 30).isGreaterThan(200L);
      assertThat(g.bytes / 30).isAtMost(1_000L);
    }
  }

  private void start(int count) {
    for (int i = 0; i < count; i++) {
      gateways.add(new Gateway(i));
    }
  }

  private void run(int seconds, Runnable step) {
    long steps = Duration.ofSeconds(seconds).dividedBy(CapacityExchange.PERIOD);
    for (long i = 0; i < steps; i++) {
      time = time.plus(CapacityExchange.PERIOD);
      step.run();
      gateways.forEach(g -> g.exchange.tick());
    }
  }

  private Clock clock() {
    return new Clock() {
      @Override
      public Instant now() {
        return Instant.EPOCH.plus(time);
      }

      @Override
      public Duration elapsed() {
        return time;
      }
    };
  }

  private static Duration millis(long millis) {
    return Duration.ofMillis(millis);
  }

  private static InstanceId endpointId(int number) {
    return new InstanceId("i-b332100e" + (10 + number));
  }

  private static EndpointDirectory directory() {
    EndpointDirectory directory = EndpointDirectory.create();
    for (int i = 0; i < ENDPOINTS; i++) {
      directory.onAnnouncement(
          new EndpointAnnouncement(
              endpointId(i),
              new Incarnation("0"),
              new Zone("a"),
              new ServiceName("lm"),
              EndpointKind.PLAIN,
              EndpointPhase.SERVING,
              0,
              0,
              SLOTS,
              new WeightVersion(0),
              1));
    }
    return directory;
  }
}
