package org.carobhoist.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.routing.EndpointView;

/**
 * What an entry knows of the endpoints: the platform's instance list says where sidecars may be,
 * and each link says at first hand what its sidecar announces. An endpoint takes new work only
 * while its link is up and it announces that it serves. Absence from the list never counts as
 * death. An endpoint's load is this entry's own requests, which it knows at once, plus a moving
 * mean of what other entries have there by the sidecar's reports, so that entries don't all run
 * after the same late report.
 */
public final class EndpointDirectory {

  private static final double LOAD_GAIN = 0.3;

  private final Map<InstanceId, Entry> entries = new HashMap<>();

  private static final class Entry {
    private EndpointAnnouncement announcement;
    private boolean leavingByList;
    private int ownInFlight;
    private double othersInFlight;
    private boolean loadKnown;

    /** Takes a report of all requests there, and learns from it what other entries have there. */
    private void onLoad(int inFlight) {
      double others = Math.max(0, inFlight - ownInFlight);
      othersInFlight = loadKnown ? othersInFlight + LOAD_GAIN * (others - othersInFlight) : others;
      loadKnown = true;
    }
  }

  private EndpointDirectory() {}

  /** Returns an empty directory. */
  public static EndpointDirectory create() {
    return new EndpointDirectory();
  }

  /** Takes an announcement from a link; an older one than known, by its sequence, is dropped. */
  public void onAnnouncement(EndpointAnnouncement a) {
    Entry entry = entries.computeIfAbsent(a.instance(), key -> new Entry());
    boolean sameRun =
        entry.announcement != null && entry.announcement.incarnation().equals(a.incarnation());
    if (sameRun && a.sequence() <= entry.announcement.sequence()) {
      return;
    }
    if (!sameRun) {
      entry.loadKnown = false;
    }
    entry.announcement = a;
    entry.onLoad(a.inFlight() + a.queued());
  }

  /** Takes the load that an endpoint's sidecar reported with an answer. */
  public void onLoad(InstanceId instance, int inFlight) {
    Entry entry = entries.get(instance);
    if (entry != null && entry.announcement != null) {
      entry.onLoad(inFlight);
    }
  }

  /** Notes that the link to an endpoint's sidecar is gone; its announcement no longer counts. */
  public void onLinkLost(InstanceId instance) {
    Entry entry = entries.get(instance);
    if (entry != null) {
      entry.announcement = null;
    }
  }

  /** Takes what the platform's instance list says of an instance. */
  public void onListed(InstanceId instance, boolean leaving) {
    entries.computeIfAbsent(instance, key -> new Entry()).leavingByList = leaving;
  }

  /** Counts a request of this entry that begins at an endpoint. */
  public void onBegin(InstanceId instance) {
    entries.computeIfAbsent(instance, key -> new Entry()).ownInFlight++;
  }

  /** Counts a request of this entry that has ended at an endpoint. */
  public void onEnd(InstanceId instance) {
    Entry entry = entries.get(instance);
    if (entry != null && entry.ownInFlight > 0) {
      entry.ownInFlight--;
    }
  }

  /** Returns the endpoints of which an announcement is in force. */
  public List<EndpointView> views() {
    return entries.values().stream().filter(e -> e.announcement != null).map(this::view).toList();
  }

  /** Returns the endpoints of one service of which an announcement is in force. */
  public Collection<EndpointView> viewsOf(ServiceName service) {
    return views().stream().filter(v -> v.service().equals(service)).toList();
  }

  /** Returns the announcement in force for an instance. */
  public Optional<EndpointAnnouncement> announcement(InstanceId instance) {
    return Optional.ofNullable(entries.get(instance)).map(e -> e.announcement);
  }

  private EndpointView view(Entry e) {
    EndpointAnnouncement a = e.announcement;
    return new EndpointView(
        a.instance(),
        a.service(),
        a.kind(),
        a.zone(),
        a.phase() == EndpointPhase.SERVING && !e.leavingByList,
        e.ownInFlight,
        e.ownInFlight + (int) Math.round(e.othersInFlight),
        a.limit(),
        a.version());
  }
}
