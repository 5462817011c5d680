package org.carobhoist.server.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.store.AppendOutcome;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.NewestPage;
import org.carobhoist.core.store.ReadOutcome;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.Shard;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.platform.BootFile;
import org.carobhoist.platform.BootSettings;
import org.carobhoist.server.link.proto.NodeRecord;
import org.carobhoist.server.runtime.DecisionLoop;
import org.carobhoist.standin.PlatformDocuments;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a process without a record because a write of its former run is executed late. */
final class NodeRegistrationTest {

  private static final String NODE = "front-a-1";
  private static final Instant STARTED_AT = Instant.ofEpochMilli(5_000);

  private final DecisionLoop loop = DecisionLoop.create("node-registration-test");
  private final Store store = new Store();
  private final NodeRegistration registration =
      new NodeRegistration(store, loop, () -> this.draining);
  private BootSettings boot;
  private boolean draining;

  /** A store that accepts all appends; the first one gets the offset 10. */
  private static final class Store implements RecordStore {

    private final List<KeyedRecord> appended = new ArrayList<>();

    @Override
    public CompletableFuture<AppendOutcome> append(
        Shard shard, List<KeyedRecord> records, OptionalLong at) {
      appended.addAll(records);
      return CompletableFuture.completedFuture(new AppendOutcome.Appended(9 + appended.size()));
    }

    @Override
    public CompletableFuture<ReadOutcome> read(Shard shard, long from, Duration wait) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<ReadOutcome> readUpTo(Shard shard, long from, int maxBytes) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<NewestPage> newest(Shard shard, String after) {
      throw new UnsupportedOperationException();
    }
  }

  @BeforeEach
  void register() throws Exception {
    boot = BootFile.parse(PlatformDocuments.bootFile(NODE, 8_080, 8_081, 8_082, "127.0.0.1:80"));
    registration.register(boot, new Incarnation("second"), STARTED_AT);
  }

  @AfterEach
  void stop() {
    loop.stop().join();
  }

  private void read(long offset, String incarnation, long startedMillis) throws Exception {
    NodeRecord node =
        NodeRecord.newBuilder().setIncarnation(incarnation).setStartedMillis(startedMillis).build();
    registration.onOwnRecord(new StoredRecord(offset, NODE, node.toByteArray()));
  }

  private void readDeletion(long offset) throws Exception {
    registration.onOwnRecord(new StoredRecord(offset, NODE, new byte[0]));
  }

  @Test
  void recordIsWrittenAgainAfterLateWritesOfFormerRun() throws Exception {
    read(11, "first", 1_000);
    assertThat(store.appended).hasSize(2);
    readDeletion(13);
    assertThat(store.appended).hasSize(3);
    assertThat(store.appended.get(2).value()).isEqualTo(store.appended.get(0).value());
  }

  @Test
  void recordIsNotWrittenAgainWithoutNeed() throws Exception {
    read(8, "first", 1_000);
    readDeletion(9);
    read(10, "second", STARTED_AT.toEpochMilli());
    read(11, "third", STARTED_AT.toEpochMilli() + 1);
    assertThat(store.appended).hasSize(1);
  }

  @Test
  void recordIsNotWrittenAgainByProcessThatStops() throws Exception {
    draining = true;
    readDeletion(11);
    draining = false;
    registration.unregister(boot);
    readDeletion(12);
    assertThat(store.appended).hasSize(2);
  }
}
