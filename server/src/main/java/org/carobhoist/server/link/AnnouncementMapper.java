package org.carobhoist.server.link;

import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.membership.EndpointAnnouncement;
import org.carobhoist.core.membership.EndpointPhase;
import org.carobhoist.server.link.proto.Announcement;
import org.carobhoist.server.link.proto.Hello;

/** Converts endpoint announcements between protobuf messages and {@code core} types. */
public final class AnnouncementMapper {

  private AnnouncementMapper() {}

  /** Converts an announcement to its message. */
  public static Announcement toMessage(EndpointAnnouncement a) {
    return Announcement.newBuilder()
        .setService(a.service().value())
        .setKindValue(a.kind().ordinal() + 1)
        .setPhaseValue(a.phase().ordinal() + 1)
        .setInFlight(a.inFlight())
        .setQueued(a.queued())
        .setLimit(a.limit())
        .setWeightVersion(a.version().number())
        .setSequence(a.sequence())
        .build();
  }

  /** Converts the message of a peer to an announcement. */
  public static EndpointAnnouncement fromMessage(Hello peer, Announcement a) {
    return new EndpointAnnouncement(
        new InstanceId(peer.getInstance()),
        new Incarnation(peer.getIncarnation()),
        new Zone(peer.getZone()),
        new ServiceName(a.getService()),
        EndpointKind.values()[a.getKindValue() - 1],
        EndpointPhase.values()[a.getPhaseValue() - 1],
        a.getInFlight(),
        a.getQueued(),
        a.getLimit(),
        new WeightVersion(a.getWeightVersion()),
        a.getSequence());
  }
}
