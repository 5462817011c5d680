package org.carobhoist.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.routing.EndpointView;
import org.carobhoist.core.store.Snapshot;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;
import org.junit.jupiter.api.Test;

final class RegisteredServersTest {

  private static final ServiceName APP = new ServiceName("app");
  private static final Duration REMOVAL_DELAY = Duration.ofMillis(1_200);

  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final EndpointDirectory directory = EndpointDirectory.create();
  private final List<String> events = new ArrayList<>();
  private final RegisteredServers servers =
      RegisteredServers.create(
          directory, RegisteredServersTest::decode, new Events(), queue::schedule, REMOVAL_DELAY);

  private final class Events implements ServerListener {

    @Override
    public void onEntry(ServerEntry entry) {}

    @Override
    public void onLeavingReported(InstanceId instance, long startedAtMillis) {
      events.add("leaving " + instance);
    }

    @Override
    public void onGone(InstanceId instance) {
      events.add("gone " + instance);
    }

    @Override
    public void onOutdated(ServerEntry entry) {
      events.add("outdated " + entry.announcement().instance());
    }

    @Override
    public void onUnreadable(String key, long offset, String why) {
      events.add("unreadable " + key);
    }
  }

  /** Decodes entries of the form {@code PHASE STARTED_AT SEQUENCE}. */
  private static ServerEntry decode(StoredRecord stored) {
    String[] parts = new String(stored.value(), StandardCharsets.US_ASCII).split(" ");
    EndpointAnnouncement announcement =
        new EndpointAnnouncement(
            new InstanceId(stored.key()),
            new Incarnation(parts[1]),
            new Zone("a"),
            APP,
            EndpointKind.PLAIN,
            EndpointPhase.valueOf(parts[0]),
            0,
            0,
            4,
            new WeightVersion(0),
            stored.offset());
    ServerEntry.WriteOrder writeOrder =
        new ServerEntry.WriteOrder(Long.parseLong(parts[1]), Long.parseLong(parts[2]));
    return new ServerEntry(announcement, "10.0.0.1", 80, Map.of(), writeOrder);
  }

  private static StoredRecord stored(long offset, String key, String value) {
    return new StoredRecord(offset, key, value.getBytes(StandardCharsets.US_ASCII));
  }

  private List<String> usable() {
    return directory.viewsOf(APP).stream()
        .filter(EndpointView::usable)
        .map(v -> v.instance().value())
        .sorted()
        .toList();
  }

  @Test
  void entryThatCannotBeDecodedDoesNotStopTheScan() {
    servers.onSnapshot(
        Snapshot.of(List.of(stored(0, "s0", "\0\0\0"), stored(1, "s1", "SERVING 1 1"))));
    assertThat(usable()).containsExactly("s1");
    assertThat(events).containsExactly("unreadable s0");
  }

  @Test
  void leavingServersBecomeUnusableImmediately() {
    servers.onRecord(stored(0, "s1", "SERVING 1 1"));
    servers.onRecord(stored(1, "s2", "SERVING 1 1"));
    assertThat(usable()).containsExactly("s1", "s2");
    servers.onRecord(stored(2, "s1", "DRAINING 1 2"));
    assertThat(usable()).containsExactly("s2");
  }

  @Test
  void serversThatReportLeavingStayUnusableDespiteRegistryEntries() {
    servers.onRecord(stored(0, "s1", "SERVING 5 1"));
    servers.onRecord(stored(1, "s2", "SERVING 5 1"));
    servers.onLeavingReported(new InstanceId("s1"));
    servers.onLeavingReported(new InstanceId("s1"));
    assertThat(usable()).containsExactly("s2");
    servers.onRecord(stored(2, "s1", "SERVING 5 2"));
    servers.onSnapshot(
        Snapshot.of(List.of(stored(3, "s1", "SERVING 5 3"), stored(4, "s2", "SERVING 5 2"))));
    assertThat(usable()).containsExactly("s2");
    assertThat(events).containsExactly("leaving s1");
  }

  @Test
  void serverThatReportedLeavingIsUsableAgainAfterRestart() {
    servers.onRecord(stored(0, "s1", "SERVING 5 1"));
    servers.onLeavingReported(new InstanceId("s1"));
    servers.onRecord(stored(1, "s1", ""));
    queue.run(Duration.ofSeconds(5));
    servers.onRecord(stored(2, "s1", "SERVING 5 2"));
    assertThat(usable()).isEmpty();
    servers.onRecord(stored(3, "s1", "SERVING 6 1"));
    assertThat(usable()).containsExactly("s1");
  }

  @Test
  void serversWithMissingEntriesStayUsableForRemovalDelay() {
    servers.onRecord(stored(0, "s1", "SERVING 1 1"));
    servers.onRecord(stored(1, "s2", "SERVING 1 1"));
    servers.onRecord(stored(2, "s1", ""));
    servers.onRecord(stored(3, "s2", ""));
    queue.run(Duration.ofMillis(1_000));
    assertThat(usable()).containsExactly("s1", "s2");
    servers.onRecord(stored(4, "s2", "SERVING 1 2"));
    queue.run(Duration.ofMillis(5_000));
    assertThat(usable()).containsExactly("s2");
    assertThat(events).containsExactly("gone s1");
  }

  @Test
  void outdatedEntriesAreIgnored() {
    servers.onRecord(stored(0, "s1", "SERVING 5 1"));
    servers.onRecord(stored(1, "s1", "DRAINING 4 9"));
    servers.onRecord(stored(2, "s1", "DRAINING 5 0"));
    assertThat(usable()).containsExactly("s1");
    servers.onRecord(stored(3, "s1", "DRAINING 5 2"));
    assertThat(usable()).isEmpty();
  }

  /** Guards against a heartbeat executed late, which made a removed server usable again. */
  @Test
  void heartbeatExecutedAfterRemovalDoesNotBringServerBack() {
    servers.onRecord(stored(0, "s1", "SERVING 5 1"));
    servers.onRecord(stored(1, "s1", "SERVING 5 3"));
    servers.onRecord(stored(2, "s1", ""));
    queue.run(Duration.ofSeconds(2));
    servers.onRecord(stored(3, "s1", "SERVING 5 2"));
    servers.onSnapshot(Snapshot.of(List.of(stored(3, "s1", "SERVING 5 2"))));
    assertThat(usable()).isEmpty();
    assertThat(events).containsExactly("gone s1", "outdated s1", "outdated s1");
  }

  @Test
  void removedServerIsUsableAtOnceAfterItsNextHeartbeatOrRestart() {
    for (String server : List.of("s1", "s2")) {
      servers.onRecord(stored(0, server, "SERVING 5 3"));
      servers.onRecord(stored(1, server, ""));
    }
    queue.run(Duration.ofSeconds(2));
    servers.onRecord(stored(2, "s1", "SERVING 5 4"));
    servers.onRecord(stored(3, "s2", "SERVING 6 1"));
    assertThat(usable()).containsExactly("s1", "s2");
  }

  @Test
  void writeOrderOfRemovedServerIsForgottenAfterItsRetention() {
    servers.onRecord(stored(0, "s1", "SERVING 5 3"));
    servers.onRecord(stored(1, "s1", ""));
    queue.run(Duration.ofSeconds(62));
    servers.onRecord(stored(2, "s1", "SERVING 4 1"));
    assertThat(usable()).containsExactly("s1");
  }

  @Test
  void unreadableEntriesAddNoServer() {
    servers.onRecord(stored(0, "s1", "SERVING 1 1"));
    servers.onRecord(stored(1, "ghost", "RESTING 1 1"));
    servers.onRecord(stored(2, "s2", "RESTING 1 1"));
    assertThat(usable()).containsExactly("s1");
    assertThat(events).containsExactly("unreadable ghost", "unreadable s2");
  }

  @Test
  void serversMissingFromSnapshotAreRemoved() {
    servers.onRecord(stored(0, "s1", "SERVING 1 1"));
    servers.onSnapshot(Snapshot.of(List.of(stored(4, "s2", "SERVING 1 1"))));
    assertThat(usable()).containsExactly("s1", "s2");
    queue.run(Duration.ofSeconds(5));
    assertThat(usable()).containsExactly("s2");
  }
}
