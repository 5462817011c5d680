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
import org.carobhoist.core.profile.ForeignRecord;
import org.carobhoist.core.profile.LogItem;
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

/** Turns records of the log into the types of {@code core} and back. */
public final class LogRecords {

  /** Largest record, in bytes, that is read; larger ones are skipped by every process. */
  public static final int MAX_RECORD_BYTES = 4 * 1024 * 1024;

  private LogRecords() {}

  /** Returns the bytes of a record; an unreadable one becomes a record of no kind. */
  public static byte[] encode(ConfigRecord record) {
    if (record instanceof ProfileChange change) {
      return LogRecord.newBuilder().setChange(changeMessage(change)).build().toByteArray();
    }
    if (record instanceof ProfileSnapshot snapshot) {
      return LogRecord.newBuilder().setSnapshot(snapshotMessage(snapshot)).build().toByteArray();
    }
    return record instanceof ForeignRecord foreign ? bytes(foreign).toByteArray() : new byte[0];
  }

  /** Returns the record in some bytes; never fails, since a bad record is skipped by all alike. */
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

  /** Returns the message in some bytes, of whatever kind, or empty if they aren't one. */
  static Optional<LogRecord> parse(byte[] data) {
    try {
      return Optional.of(LogRecord.parseFrom(data));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  /** Returns the record of another part as its own message, or empty if it can't be read. */
  public static Optional<LogRecord> message(ForeignRecord record) {
    return parse(bytes(record).toByteArray());
  }

  private static ConfigRecord fromMessage(LogRecord message, byte[] data) throws SettingsException {
    return switch (message.getBodyCase()) {
      case CHANGE -> changeFrom(message.getChange());
      case SNAPSHOT -> snapshotFrom(message.getSnapshot());
      case WEIGHT_ORDER -> weightOrder(message.getWeightOrder(), data);
      case HOME_VIEW ->
          new ForeignRecord("homes/" + message.getHomeView().getService(), readOnly(data));
      case BODY_NOT_SET -> new UnreadableRecord("unknown kind");
    };
  }

  /** An order for a version that isn't newer than the one in force is void. */
  private static ForeignRecord weightOrder(WeightOrderRecord order, byte[] data) {
    return new ForeignRecord("weights/" + order.getModel(), order.getVersion(), readOnly(data));
  }

  private static ByteBuffer readOnly(byte[] data) {
    return ByteBuffer.wrap(data).asReadOnlyBuffer();
  }

  private static ByteString bytes(ForeignRecord record) {
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
    List<LogItem> foreign = new ArrayList<>();
    for (StoredRecord f : r.getForeignList()) {
      ConfigRecord body = decode(f.getRecord().toByteArray());
      if (!(body instanceof ForeignRecord)) {
        throw new IllegalArgumentException("a snapshot holds a record of another kind");
      }
      foreign.add(new LogItem(f.getOffset(), f.getTimeMillis(), body));
    }
    return new ProfileSnapshot(r.getThroughOffset(), profiles, foreign);
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
    for (LogItem f : snapshot.foreign()) {
      out.addForeign(
          StoredRecord.newBuilder()
              .setOffset(f.offset())
              .setTimeMillis(f.timeMillis())
              .setRecord(bytes((ForeignRecord) f.body())));
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
