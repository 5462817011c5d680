package org.carobhoist.core.membership;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Scheduler;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.store.Snapshot;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.core.store.TailListener;

/**
 * Tracks the servers in the platform's registry and updates the endpoint directory. A server whose
 * entry says that it is leaving becomes unusable at once. A server whose entry is missing stays
 * usable for a short time, since entries also expire while the registry is down and reappear when
 * it recovers. A server that has reported in a response that it is leaving stays unusable until it
 * restarts, even if its registry entry says otherwise.
 *
 * <p>The registry may execute a write seconds after the server sent it, also after later writes and
 * after the removal of the entry. An entry that is older than one that was read before is therefore
 * ignored, also for some time after the server has been removed.
 */
public final class RegisteredServers implements TailListener {

  /** Maximum number of leaving servers remembered; a release replaces some hundred at most. */
  private static final int MAX_LEAVING_SERVERS = 4_096;

  /**
   * Time for which the write order of a removed server is kept. Delayed writes take effect within
   * seconds; afterwards a server may return with a clock that was set back.
   */
  private static final Duration REMOVED_ORDER_RETENTION = Duration.ofSeconds(60);

  private final EndpointDirectory directory;
  private final ServerEntryDecoder decoder;
  private final ServerListener listener;
  private final Scheduler scheduler;
  private final Duration removalDelay;
  private final Map<InstanceId, ServerEntry> entries = new HashMap<>();
  private final Map<InstanceId, Runnable> pendingRemovals = new HashMap<>();
  private final Map<InstanceId, ServerEntry.WriteOrder> removedOrders = new HashMap<>();
  private final Map<InstanceId, Long> leavingStartTimes = new LinkedHashMap<>();

  private RegisteredServers(
      EndpointDirectory directory,
      ServerEntryDecoder decoder,
      ServerListener listener,
      Scheduler scheduler,
      Duration removalDelay) {
    this.directory = directory;
    this.decoder = decoder;
    this.listener = listener;
    this.scheduler = scheduler;
    this.removalDelay = removalDelay;
  }

  /**
   * Returns an instance that knows no servers.
   *
   * @param directory updated with the state of each server
   * @param removalDelay how long a server stays usable after its entry has disappeared
   */
  public static RegisteredServers create(
      EndpointDirectory directory,
      ServerEntryDecoder decoder,
      ServerListener listener,
      Scheduler scheduler,
      Duration removalDelay) {
    return new RegisteredServers(directory, decoder, listener, scheduler, removalDelay);
  }

  @Override
  public void onSnapshot(Snapshot snapshot) {
    snapshot.forEach(snapshot.records(), this::onRecord);
    Set<String> present = snapshot.keys();
    List.copyOf(entries.keySet()).stream()
        .filter(i -> !present.contains(i.value()))
        .forEach(this::scheduleRemoval);
  }

  @Override
  public void onRecord(StoredRecord stored) {
    if (stored.isTombstone()) {
      parseId(stored.key()).filter(entries::containsKey).ifPresent(this::scheduleRemoval);
      return;
    }
    ServerEntry entry;
    try {
      entry = decoder.decode(stored);
    } catch (RuntimeException e) {
      listener.onUnreadable(stored.key(), stored.offset(), String.valueOf(e.getMessage()));
      parseId(stored.key()).filter(entries::containsKey).ifPresent(this::scheduleRemoval);
      return;
    }
    accept(entry);
  }

  /** Returns the current entry of a known server. */
  public Optional<ServerEntry> entry(InstanceId instance) {
    return Optional.ofNullable(entries.get(instance));
  }

  /** Called when a server reports in a response that it is leaving; applies until it restarts. */
  public void onLeavingReported(InstanceId instance) {
    ServerEntry known = entries.get(instance);
    if (known == null
        || Long.valueOf(known.writeOrder().startedAtMillis())
            .equals(leavingStartTimes.get(instance))) {
      return;
    }
    leavingStartTimes.remove(instance);
    leavingStartTimes.put(instance, known.writeOrder().startedAtMillis());
    if (leavingStartTimes.size() > MAX_LEAVING_SERVERS) {
      leavingStartTimes.remove(leavingStartTimes.keySet().iterator().next());
    }
    listener.onLeavingReported(instance, known.writeOrder().startedAtMillis());
    update(known);
  }

  /** Returns the entries of all servers of a service, including leaving ones. */
  public Collection<ServerEntry> entriesOf(ServiceName service) {
    return entries.values().stream()
        .filter(e -> e.announcement().service().equals(service))
        .toList();
  }

  /** Returns the number of known servers, for the state dump. */
  public int size() {
    return entries.size();
  }

  private void accept(ServerEntry entry) {
    InstanceId instance = entry.announcement().instance();
    Optional<ServerEntry.WriteOrder> newest = newestOrder(instance);
    if (newest.isPresent() && entry.writeOrder().isBefore(newest.get())) {
      if (!entries.containsKey(instance)) {
        listener.onOutdated(entry);
      }
      return;
    }
    removedOrders.remove(instance);
    Runnable cancelRemoval = pendingRemovals.remove(instance);
    if (cancelRemoval != null) {
      cancelRemoval.run();
    }
    update(entry);
  }

  /** Returns the order of the newest entry of a server that is known or was removed lately. */
  private Optional<ServerEntry.WriteOrder> newestOrder(InstanceId instance) {
    return entry(instance)
        .map(ServerEntry::writeOrder)
        .or(() -> Optional.ofNullable(removedOrders.get(instance)));
  }

  private void update(ServerEntry entry) {
    InstanceId instance = entry.announcement().instance();
    Long leavingStartTime = leavingStartTimes.get(instance);
    boolean isLeaving =
        leavingStartTime != null && entry.writeOrder().startedAtMillis() <= leavingStartTime;
    ServerEntry effective = isLeaving ? entry.leaving() : entry;
    entries.put(instance, effective);
    directory.onListed(instance, isLeaving);
    directory.onAnnouncement(effective.announcement());
    listener.onEntry(effective);
  }

  private void scheduleRemoval(InstanceId instance) {
    if (!pendingRemovals.containsKey(instance)) {
      pendingRemovals.put(instance, scheduler.after(removalDelay, () -> remove(instance)));
    }
  }

  private void remove(InstanceId instance) {
    pendingRemovals.remove(instance);
    ServerEntry.WriteOrder order = entries.remove(instance).writeOrder();
    removedOrders.put(instance, order);
    scheduler.after(REMOVED_ORDER_RETENTION, () -> removedOrders.remove(instance, order));
    directory.onLinkLost(instance);
    listener.onGone(instance);
  }

  private static Optional<InstanceId> parseId(String key) {
    try {
      return Optional.of(new InstanceId(key));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
