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
 * State of all endpoints known to an entry. The platform's instance list names the sidecars, and
 * each sidecar announces its own state over its link. An endpoint is usable for new work only while
 * its link is up, it announces that it is serving, and the list does not mark it as leaving.
 * Absence from the list never marks an endpoint as down.
 *
 * <p>The load of an endpoint is the number of this entry's own requests, which is always current,
 * plus an exponential moving average of other entries' requests, derived from the sidecar's
 * reports. Without the averaging, all entries would react to the same delayed report at once.
 */
public final class EndpointDirectory {

  private static final double LOAD_SMOOTHING_FACTOR = 0.3;

  private final Map<InstanceId, Entry> entries = new HashMap<>();

  private static final class Entry {
    private EndpointAnnouncement announcement;
    private boolean listedAsLeaving;
    private int ownInFlight;
    private double othersInFlight;
    private boolean loadKnown;

    /** Updates the average of other entries' requests from a report of all requests. */
    private void onLoad(int inFlight) {
      double others = Math.max(0, inFlight - ownInFlight);
      othersInFlight =
          loadKnown ? othersInFlight + LOAD_SMOOTHING_FACTOR * (others - othersInFlight) : others;
      loadKnown = true;
    }
  }

  private EndpointDirectory() {}

  /** Returns an empty directory. */
  public static EndpointDirectory create() {
    return new EndpointDirectory();
  }

  /**
   * Called when an announcement is received; ignores it if its sequence number is not newer than
   * the known one of the same incarnation.
   */
  public void onAnnouncement(EndpointAnnouncement a) {
    Entry entry = entries.computeIfAbsent(a.instance(), key -> new Entry());
    boolean sameIncarnation =
        entry.announcement != null && entry.announcement.incarnation().equals(a.incarnation());
    if (sameIncarnation && a.sequence() <= entry.announcement.sequence()) {
      return;
    }
    if (!sameIncarnation) {
      entry.loadKnown = false;
    }
    entry.announcement = a;
    entry.onLoad(a.inFlight() + a.queued());
  }

  /** Called when an endpoint's sidecar has reported its load with a response. */
  public void onLoad(InstanceId instance, int inFlight) {
    Entry entry = entries.get(instance);
    if (entry != null && entry.announcement != null) {
      entry.onLoad(inFlight);
    }
  }

  /** Called when the link to an endpoint's sidecar is lost; discards its last announcement. */
  public void onLinkLost(InstanceId instance) {
    Entry entry = entries.get(instance);
    if (entry != null) {
      entry.announcement = null;
    }
  }

  /** Called with the state of an instance in the platform's instance list. */
  public void onListed(InstanceId instance, boolean leaving) {
    entries.computeIfAbsent(instance, key -> new Entry()).listedAsLeaving = leaving;
  }

  /** Called when this entry starts a request at an endpoint. */
  public void onRequestStarted(InstanceId instance) {
    entries.computeIfAbsent(instance, key -> new Entry()).ownInFlight++;
  }

  /** Called when a request of this entry at an endpoint has ended. */
  public void onRequestEnded(InstanceId instance) {
    Entry entry = entries.get(instance);
    if (entry != null && entry.ownInFlight > 0) {
      entry.ownInFlight--;
    }
  }

  /** Returns all endpoints that have a current announcement. */
  public List<EndpointView> views() {
    return entries.values().stream().filter(e -> e.announcement != null).map(this::view).toList();
  }

  /** Returns the endpoints of one service that have a current announcement. */
  public Collection<EndpointView> viewsOf(ServiceName service) {
    return views().stream().filter(v -> v.service().equals(service)).toList();
  }

  /** Returns one endpoint if it has a current announcement. */
  public Optional<EndpointView> viewOf(InstanceId instance) {
    return Optional.ofNullable(entries.get(instance))
        .filter(e -> e.announcement != null)
        .map(this::view);
  }

  /** Returns the current announcement of an instance. */
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
        a.phase() == EndpointPhase.SERVING && !e.listedAsLeaving,
        e.ownInFlight,
        e.ownInFlight + (int) Math.round(e.othersInFlight),
        a.limit(),
        a.version());
  }
}
