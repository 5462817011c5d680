package org.carobhoist.server.logservice;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.idempotency.HomeMember;
import org.junit.jupiter.api.Test;

final class HomeViewReaderTest {

  private static final ServiceName SERVICE = new ServiceName("reservas");

  private final List<LogBatch.StoredRecord> stored = new ArrayList<>();
  private final List<Long> seenOffsets = new ArrayList<>();
  private final RecordingLease lease = new RecordingLease();
  private final HomeViewReader reader =
      HomeViewReader.create(
          new FakeLog(), Runnable::run, (service, view) -> seenOffsets.add(view.offset()), lease);
  private long first = 1;

  @Test
  void deliversEachViewOnce() {
    appendView();
    appendView();
    reader.onBatch(1, batch(1));
    reader.onBatch(1, batch(1));
    assertThat(seenOffsets).containsExactly(1L, 2L).inOrder();
    assertThat(lease.caughtUp).isEqualTo(2);
  }

  @Test
  void readsRecordsThatTheProcessSkipped() {
    appendView();
    reader.onBatch(1, batch(1));
    appendView();
    appendView();
    lease.caughtUp = 0;
    reader.onBatch(4, batch(4));
    assertThat(seenOffsets).containsExactly(1L, 2L, 3L).inOrder();
    assertThat(lease.gaps).isEqualTo(0);
    assertThat(lease.caughtUp).isEqualTo(0);
    reader.onBatch(4, batch(4));
    assertThat(lease.caughtUp).isEqualTo(1);
  }

  @Test
  void reportsRemovedRecordsAsGap() {
    appendView();
    reader.onBatch(1, batch(1));
    appendView();
    appendView();
    first = 3;
    reader.onBatch(2, batch(2));
    assertThat(lease.gaps).isEqualTo(1);
    assertThat(seenOffsets).containsExactly(1L, 3L).inOrder();
  }

  @Test
  void doesNotRenewLeaseBeforeEndOfLog() {
    appendView();
    appendView();
    reader.onBatch(1, new LogBatch(1, 3, stored.subList(0, 1)));
    assertThat(lease.caughtUp).isEqualTo(0);
  }

  private void appendView() {
    HomeMember member = new HomeMember(new InstanceId("a"), new Incarnation("run"));
    byte[] data = HomeRecords.encode(SERVICE, List.of(member));
    stored.add(new LogBatch.StoredRecord(stored.size() + 1, 0, data));
  }

  private LogBatch batch(long from) {
    List<LogBatch.StoredRecord> found =
        stored.stream().filter(r -> r.offset() >= Math.max(from, first)).toList();
    return new LogBatch(first, stored.size() + 1, found);
  }

  private final class FakeLog implements PlatformLog {

    @Override
    public CompletableFuture<Long> append(byte[] record) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<LogBatch> read(long from, Duration wait) {
      return CompletableFuture.completedFuture(batch(from));
    }
  }

  private static final class RecordingLease implements HomeViewReader.LeaseEvents {

    private int gaps;
    private int caughtUp;

    @Override
    public void onReadSent() {}

    @Override
    public void onGap() {
      gaps++;
    }

    @Override
    public void onCaughtUp() {
      caughtUp++;
    }
  }
}
