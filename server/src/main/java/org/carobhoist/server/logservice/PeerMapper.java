package org.carobhoist.server.logservice;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.carobhoist.core.profile.LogItem;
import org.carobhoist.core.profile.PeerUpdate;
import org.carobhoist.core.profile.ProfileSnapshot;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.PeerDigest;
import org.carobhoist.server.link.proto.PeerRecord;
import org.carobhoist.server.link.proto.PeerRecords;

/** Converts the configuration updates exchanged between peers to frames and back. */
final class PeerMapper {

  private PeerMapper() {}

  static LinkFrame digest(long nextOffset, long revision) {
    PeerDigest digest =
        PeerDigest.newBuilder().setNextOffset(nextOffset).setRevision(revision).build();
    return LinkFrame.newBuilder().setPeerDigest(digest).build();
  }

  static LinkFrame update(PeerUpdate update) {
    PeerRecords.Builder out =
        PeerRecords.newBuilder().setFirstOffset(update.first()).setNextOffset(update.next());
    update.snapshot().ifPresent(s -> out.setSnapshot(bytes(LogRecords.encode(s))));
    for (LogItem item : update.items()) {
      out.addItems(
          PeerRecord.newBuilder()
              .setOffset(item.offset())
              .setTimeMillis(item.timeMillis())
              .setRecord(bytes(LogRecords.encode(item.body()))));
    }
    return LinkFrame.newBuilder().setPeerRecords(out).build();
  }

  /** Converts a message to an update; empty if the snapshot in it can't be decoded. */
  static Optional<PeerUpdate> fromMessage(PeerRecords m) {
    List<LogItem> items = m.getItemsList().stream().map(PeerMapper::item).toList();
    if (m.getSnapshot().isEmpty()) {
      return Optional.of(
          new PeerUpdate(m.getFirstOffset(), m.getNextOffset(), items, Optional.empty()));
    }
    return LogRecords.decode(m.getSnapshot().toByteArray()) instanceof ProfileSnapshot s
        ? Optional.of(
            new PeerUpdate(m.getFirstOffset(), m.getNextOffset(), List.of(), Optional.of(s)))
        : Optional.empty();
  }

  private static LogItem item(PeerRecord r) {
    return new LogItem(
        r.getOffset(), r.getTimeMillis(), LogRecords.decode(r.getRecord().toByteArray()));
  }

  private static ByteString bytes(byte[] data) {
    return ByteString.copyFrom(data);
  }
}
