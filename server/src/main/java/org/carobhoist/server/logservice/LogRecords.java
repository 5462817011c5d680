package org.carobhoist.server.logservice;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.profile.ConfigRecord;
import org.carobhoist.core.profile.LogItem;
import org.carobhoist.core.profile.OpaqueRecord;
import org.carobhoist.core.profile.ProfileChange;
import org.carobhoist.core.profile.ProfileEntry;
import org.carobhoist.core.profile.ProfileFold;
import org.carobhoist.core.profile.ProfileReader;
import org.carobhoist.core.profile.ProfileSnapshot;
import org.carobhoist.core.profile.Revision;
import org.carobhoist.core.profile.UnreadableRecord;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.server.link.proto.LogRecord;
import org.carobhoist.server.link.proto.ProfileChangeRecord;
import org.carobhoist.server.link.proto.ProfileSnapshotRecord;
import org.carobhoist.server.link.proto.ProfileState;
import org.carobhoist.server.link.proto.StoredRecord;
import org.carobhoist.server.link.proto.WeightOrderRecord;

/** Encodes and decodes the records of the log that concern the configuration. */
public final class LogRecords {

  /** Maximum size of a record in bytes. Every process skips larger records. */
  public static final int MAX_RECORD_BYTES = 4 * 1024 * 1024;

  private LogRecords() {}

  /** Encodes a record. An unreadable record is encoded as a record without content. */
  public static byte[] encode(ConfigRecord record) {
    if (record instanceof ProfileChange change) {
      return LogRecord.newBuilder().setChange(changeMessage(change)).build().toByteArray();
    }
    if (record instanceof ProfileSnapshot snapshot) {
      return LogRecord.newBuilder().setSnapshot(snapshotMessage(snapshot)).build().toByteArray();
    }
    return record instanceof OpaqueRecord opaque ? bytes(opaque).toByteArray() : new byte[0];
  }

  /**
   * Decodes a record. Never throws: an invalid record becomes an {@link UnreadableRecord}, which
   * all processes skip alike.
   */
  public static ConfigRecord decode(byte[] data) {
    if (data.length > MAX_RECORD_BYTES) {
      return new UnreadableRecord("oversized: " + data.length + " bytes");
    }
    try {
      return fromMessage(LogRecord.parseFrom(data), data);
    } catch (InvalidProtocolBufferException e) {
      return new UnreadableRecord("torn: " + e.getMessage());
    } catch (IllegalArgumentException | SettingsException e) {
      return new UnreadableRecord("malformed: " + e.getMessage());
    }
  }

  /** Parses a record of any kind to its message; empty if the bytes aren't a valid message. */
  static Optional<LogRecord> parse(byte[] data) {
    try {
      return Optional.of(LogRecord.parseFrom(data));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  /** Parses a record that isn't part of the profiles to its message; empty if it is invalid. */
  public static Optional<LogRecord> message(OpaqueRecord record) {
    return parse(bytes(record).toByteArray());
  }

  private static ConfigRecord fromMessage(LogRecord message, byte[] data) throws SettingsException {
    return switch (message.getBodyCase()) {
      case CHANGE -> changeFrom(message.getChange());
      case SNAPSHOT -> snapshotFrom(message.getSnapshot());
      case WEIGHT_ORDER -> weightOrder(message.getWeightOrder(), data);
      case HOME_VIEW ->
          new OpaqueRecord("homes/" + message.getHomeView().getService(), readOnly(data));
      case BODY_NOT_SET -> new UnreadableRecord("unknown kind");
    };
  }

  /** Uses the version as rank, so an order has no effect unless its version is newer. */
  private static OpaqueRecord weightOrder(WeightOrderRecord order, byte[] data) {
    return new OpaqueRecord("weights/" + order.getModel(), order.getVersion(), readOnly(data));
  }

  private static ByteBuffer readOnly(byte[] data) {
    return ByteBuffer.wrap(data).asReadOnlyBuffer();
  }

  private static ByteString bytes(OpaqueRecord record) {
    return ByteString.copyFrom(record.data().duplicate());
  }

  private static ConfigRecord changeFrom(ProfileChangeRecord r) {
    if (r.getDocument().length() > ProfileFold.MAX_DOCUMENT_CHARS) {
      return new UnreadableRecord("oversized document: " + r.getDocument().length());
    }
    if (r.getChangeId().isEmpty()) {
      return new UnreadableRecord("malformed: no change id");
    }
    return new ProfileChange(
        r.getChangeId(),
        ProfileChange.Kind.valueOf(r.getKind().toUpperCase(Locale.ROOT)),
        new ProfileName(r.getProfile()),
        new Revision(r.getBaseRevision()),
        r.getDocument(),
        r.getOperator());
  }

  private static ProfileChangeRecord changeMessage(ProfileChange change) {
    return ProfileChangeRecord.newBuilder()
        .setChangeId(change.changeId())
        .setKind(change.kind().name().toLowerCase(Locale.ROOT))
        .setProfile(change.profile().value())
        .setBaseRevision(change.base().offset())
        .setDocument(change.document())
        .setOperator(change.operator())
        .build();
  }

  private static ProfileSnapshot snapshotFrom(ProfileSnapshotRecord r) throws SettingsException {
    List<ProfileEntry> profiles = new ArrayList<>();
    for (ProfileState p : r.getProfilesList()) {
      profiles.add(entryFrom(p));
    }
    List<LogItem> opaque = new ArrayList<>();
    for (StoredRecord f : r.getForeignList()) {
      ConfigRecord body = decode(f.getRecord().toByteArray());
      if (!(body instanceof OpaqueRecord)) {
        throw new IllegalArgumentException("snapshot contains a record of an unexpected kind");
      }
      opaque.add(new LogItem(f.getOffset(), f.getTimeMillis(), body));
    }
    return new ProfileSnapshot(r.getThroughOffset(), profiles, opaque);
  }

  private static ProfileEntry entryFrom(ProfileState p) throws SettingsException {
    ProfileName name = new ProfileName(p.getProfile());
    return new ProfileEntry(
        name,
        new Revision(p.getRevision()),
        p.getChangeId(),
        p.getOperator(),
        p.getRetired(),
        ProfileReader.read(name, p.getDocument()),
        p.getDocument());
  }

  private static ProfileSnapshotRecord snapshotMessage(ProfileSnapshot snapshot) {
    ProfileSnapshotRecord.Builder out =
        ProfileSnapshotRecord.newBuilder().setThroughOffset(snapshot.through());
    snapshot.profiles().forEach(p -> out.addProfiles(entryMessage(p)));
    for (LogItem f : snapshot.opaqueRecords()) {
      out.addForeign(
          StoredRecord.newBuilder()
              .setOffset(f.offset())
              .setTimeMillis(f.timeMillis())
              .setRecord(bytes((OpaqueRecord) f.body())));
    }
    return out.build();
  }

  private static ProfileState entryMessage(ProfileEntry p) {
    return ProfileState.newBuilder()
        .setProfile(p.name().value())
        .setRevision(p.revision().offset())
        .setChangeId(p.changeId())
        .setOperator(p.operator())
        .setRetired(p.retired())
        .setDocument(p.document())
        .build();
  }
}
