package org.carobhoist.core.profile;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.testing.Schedules;
import org.junit.jupiter.api.Test;

final class ConfigReplicaTest {

  private static final String DOCUMENT = "[profile]\nservice = horno-lm\nkind = engine\n";
  private static final int SCHEDULES = 500;

  /**
   * A replica that starts from a snapshot must reach the same state as one that read all records.
   */
  @Test
  void reachesSameStateFromAnySnapshotAsFromCompleteLog() {
    Optional<String> failure = Schedules.explore(1, SCHEDULES, ConfigReplicaTest::compareReplicas);
    assertThat(failure).isEqualTo(Optional.empty());
  }

  @Test
  void closesGapsOnlyWithSnapshotsThatReachRetainedRecords() {
    ConfigReplica writer = replica();
    writer.onLog(read(1, 1, 3, change(1, "a", 0), change(2, "b", 0)));
    LogItem tooOld = new LogItem(5, 0, writer.snapshot());
    writer.onLog(read(3, 1, 5, change(3, "c", 0), change(4, "d", 0)));

    ConfigReplica reader = replica();
    reader.onLog(read(1, 5, 6, tooOld));
    assertThat(reader.hasGap()).isTrue();
    assertThat(reader.fold().entries()).isEmpty();
    reader.onLog(read(6, 5, 7, new LogItem(6, 0, writer.snapshot())));
    assertThat(reader.hasGap()).isFalse();
    assertThat(reader.readFrom()).isEqualTo(5);
    assertThat(reader.snapshot()).isEqualTo(writer.snapshot());
  }

  @Test
  void ignoresResponsesBeyondReadPosition() {
    ConfigReplica reader = replica();
    assertThat(reader.onLog(read(7, 1, 8, change(7, "a", 0)))).isFalse();
    assertThat(reader.fold().appliedOffset()).isEqualTo(0);
  }

  @Test
  void olderSnapshotsNeverRevertRetirement() {
    ConfigReplica r = replica();
    r.onLog(read(1, 1, 2, change(1, "a", 0)));
    ProfileSnapshot before = r.snapshot();
    ProfileChange retire =
        new ProfileChange(
            "r", ProfileChange.Kind.RETIRE, new ProfileName("a"), new Revision(1), "", "op");
    r.onLog(read(2, 1, 3, new LogItem(2, 0, retire)));
    assertThat(r.install(before)).isFalse();
    assertThat(r.fold().profile(new ProfileName("a"))).isEqualTo(Optional.empty());
    assertThat(r.fold().profileOrLast(new ProfileName("a")).isPresent()).isTrue();
  }

  @Test
  void refusesSnapshotsWithMissingProfiles() {
    ConfigReplica r = replica();
    r.onLog(read(1, 1, 2, change(1, "a", 0)));
    assertThat(r.install(new ProfileSnapshot(9, List.of(), List.of()))).isFalse();
  }

  @Test
  void refusesPeerRecordsAfterGap() {
    ConfigReplica r = replica();
    PeerUpdate update = new PeerUpdate(5, 6, List.of(change(5, "a", 0)), Optional.empty());
    assertThat(r.onPeer(update)).isFalse();
    assertThat(r.fold().appliedOffset()).isEqualTo(0);
  }

  @Test
  void skipsUnreadableRecords() {
    ConfigReplica r = replica();
    LogItem torn = new LogItem(1, 0, new UnreadableRecord("torn"));
    r.onLog(read(1, 1, 3, torn, change(2, "a", 0)));
    assertThat(r.fold().revision()).isEqualTo(new Revision(2));
  }

  @Test
  void keepsForeignRecordWithHighestRank() {
    ConfigReplica r = replica();
    LogItem newer = new LogItem(1, 0, new OpaqueRecord("w", 3, ByteBuffer.allocate(0)));
    LogItem older = new LogItem(2, 0, new OpaqueRecord("w", 2, ByteBuffer.allocate(0)));
    r.onLog(read(1, 1, 3, newer, older));
    assertThat(r.snapshot().opaqueRecords()).containsExactly(newer);
  }

  private static Optional<String> compareReplicas(SplittableRandom random) {
    ConfigReplica complete = replica();
    List<LogItem> log = new ArrayList<>();
    for (int offset = 1; offset <= 60; offset++) {
      log.add(new LogItem(offset, offset, record(random, complete, offset)));
      complete.onLog(new LogRead(offset, 1, offset + 1, log.subList(offset - 1, offset)));
    }
    List<LogItem> snapshots =
        log.stream().filter(i -> i.body() instanceof ProfileSnapshot).toList();
    for (LogItem s : snapshots) {
      long first = ((ProfileSnapshot) s.body()).through() + 1;
      ConfigReplica restored = replica();
      restored.onLog(read(1, first, 61, log.subList((int) first - 1, 60)));
      restored.onLog(
          read(restored.readFrom(), first, 61, log.subList((int) restored.readFrom() - 1, 60)));
      if (!restored.snapshot().equals(complete.snapshot())) {
        return Optional.of("state differs after starting from the snapshot at " + s.offset());
      }
    }
    return Optional.empty();
  }

  private static ConfigRecord record(SplittableRandom random, ConfigReplica complete, int offset) {
    return switch (random.nextInt(7)) {
      case 0 -> complete.snapshot();
      case 1 -> new OpaqueRecord("m" + random.nextInt(2), ByteBuffer.wrap(new byte[] {1}));
      case 2 -> new UnreadableRecord("torn");
      case 3 -> new OpaqueRecord("w", random.nextInt(5), ByteBuffer.wrap(new byte[] {2}));
      default -> change(random, complete, offset);
    };
  }

  private static ProfileChange change(SplittableRandom random, ConfigReplica complete, int offset) {
    ProfileName name = new ProfileName("p" + random.nextInt(3));
    long current = complete.fold().entry(name).map(e -> e.revision().offset()).orElse(0L);
    long base = random.nextInt(3) == 0 ? random.nextInt(offset) : current;
    ProfileChange.Kind[] kinds = ProfileChange.Kind.values();
    String document = random.nextInt(5) == 0 ? "not a profile" : DOCUMENT;
    return new ProfileChange(
        "c" + offset, kinds[random.nextInt(3)], name, new Revision(base), document, "op");
  }

  private static LogItem change(long offset, String profile, long base) {
    return new LogItem(
        offset,
        0,
        new ProfileChange(
            "c" + offset,
            ProfileChange.Kind.PUBLISH,
            new ProfileName(profile),
            new Revision(base),
            DOCUMENT,
            "op"));
  }

  private static LogRead read(long from, long first, long next, LogItem... items) {
    return new LogRead(from, first, next, List.of(items));
  }

  private static LogRead read(long from, long first, long next, List<LogItem> items) {
    return new LogRead(from, first, next, items);
  }

  private static ConfigReplica replica() {
    return ConfigReplica.create(NoOpReplicaListener.INSTANCE);
  }
}
