package org.carobhoist.server.platform;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Locale;
import java.util.Optional;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.profile.ProfileChange;
import org.carobhoist.core.profile.Revision;
import org.carobhoist.server.link.proto.LogRecord;
import org.carobhoist.server.link.proto.ProfileChangeRecord;

/** Turns records of the log into the types of {@code core} and back. */
public final class LogRecords {

  private LogRecords() {}

  /** Returns the bytes of a change. */
  public static byte[] encode(ProfileChange change) {
    ProfileChangeRecord record =
        ProfileChangeRecord.newBuilder()
            .setChangeId(change.changeId())
            .setKind(change.kind().name().toLowerCase(Locale.ROOT))
            .setProfile(change.profile().value())
            .setBaseRevision(change.base().offset())
            .setDocument(change.document())
            .setOperator(change.operator())
            .build();
    return LogRecord.newBuilder().setChange(record).build().toByteArray();
  }

  /** Returns the record in some bytes, or empty if they aren't one. */
  public static Optional<LogRecord> decode(byte[] data) {
    try {
      return Optional.of(LogRecord.parseFrom(data));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  /** Returns the change in a record, or empty if the record is malformed. */
  public static Optional<ProfileChange> change(ProfileChangeRecord r) {
    try {
      return Optional.of(
          new ProfileChange(
              r.getChangeId(),
              ProfileChange.Kind.valueOf(r.getKind().toUpperCase(Locale.ROOT)),
              new ProfileName(r.getProfile()),
              new Revision(r.getBaseRevision()),
              r.getDocument(),
              r.getOperator()));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
