package org.carobhoist.server.logservice;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.profile.ConfigReplica;
import org.carobhoist.core.profile.FoldOutcome;
import org.carobhoist.core.profile.LogItem;
import org.carobhoist.core.profile.LogRead;
import org.carobhoist.core.profile.OpaqueRecord;
import org.carobhoist.core.profile.ProfileChange;
import org.carobhoist.core.profile.ProfileFold;
import org.carobhoist.core.profile.ProfileSnapshot;
import org.carobhoist.core.profile.ReplicaListener;
import org.carobhoist.core.profile.Revision;
import org.carobhoist.core.profile.UnreadableRecord;
import org.junit.jupiter.api.Test;

final class LogRecordsTest {

  private static final String DOCUMENT = "[profile]\nservice = horno-lm\nkind = engine\n";

  @Test
  void changesSurviveEncoding() {
    assertThat(LogRecords.decode(LogRecords.encode(change(DOCUMENT)))).isEqualTo(change(DOCUMENT));
  }

  @Test
  void snapshotsSurviveEncoding() {
    ConfigReplica replica = ConfigReplica.create(new NoOpReplicaListener());
    byte[] order = WeightOrderRecords.encode(new ServiceName("horno-lm"), new WeightVersion(7));
    List<LogItem> items =
        List.of(new LogItem(1, 5, change(DOCUMENT)), new LogItem(2, 6, LogRecords.decode(order)));
    replica.onLog(new LogRead(1, 1, 3, items));
    ProfileSnapshot snapshot = replica.snapshot();
    assertThat(snapshot.opaqueRecords()).hasSize(1);
    assertThat(LogRecords.decode(LogRecords.encode(snapshot))).isEqualTo(snapshot);
  }

  @Test
  void tornUnknownAndOversizedRecordsAreUnreadable() {
    byte[] whole = LogRecords.encode(change(DOCUMENT));
    byte[] torn = Arrays.copyOf(whole, whole.length - 3);
    byte[] unknown = {(byte) 0xfa, 0x3e, 0x00};
    byte[] oversized = new byte[LogRecords.MAX_RECORD_BYTES + 1];
    byte[] longDocument = LogRecords.encode(change("#".repeat(ProfileFold.MAX_DOCUMENT_CHARS + 1)));
    for (byte[] data : List.of(torn, unknown, oversized, longDocument, new byte[0])) {
      assertThat(LogRecords.decode(data)).isInstanceOf(UnreadableRecord.class);
    }
  }

  private static ProfileChange change(String document) {
    return new ProfileChange(
        "c1", ProfileChange.Kind.PUBLISH, new ProfileName("horno"), Revision.NONE, document, "ana");
  }

  private static final class NoOpReplicaListener implements ReplicaListener {

    @Override
    public void onChange(long offset, ProfileChange change, FoldOutcome outcome) {}

    @Override
    public void onOpaqueRecord(LogItem item, OpaqueRecord record) {}

    @Override
    public void onSkipped(long offset, String reason) {}

    @Override
    public void onInstalled(ProfileSnapshot snapshot) {}
  }
}
