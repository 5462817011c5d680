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
 * The servers that the platform's registry names, fed into the endpoint directory. A server that
 * announces its leaving is out at once. One whose entry merely vanishes stays for a moment: entries
 * also lapse while the registry is down, and come back when it is there again. A server that has
 * said in an answer that it leaves stays out until it has started again, whatever is read of it.
 */
public final class RegisteredServers implements TailListener {

  /** Servers remembered that said they leave; a release replaces some hundred at most. */
  private static final int MOST_LEAVERS = 4_096;

  private final EndpointDirectory directory;
  private final ServerEntryDecoder decoder;
  private final ServerListener listener;
  private final Scheduler scheduler;
  private final Duration lapseTime;
  private final Map<InstanceId, ServerEntry> entries = new HashMap<>();
  private final Map<InstanceId, Runnable> lapsing = new HashMap<>();
  private final Map<InstanceId, Long> leavers = new LinkedHashMap<>();

  private RegisteredServers(
      EndpointDirectory directory,
      ServerEntryDecoder decoder,
      ServerListener listener,
      Scheduler scheduler,
      Duration lapseTime) {
    this.directory = directory;
    this.decoder = decoder;
    this.listener = listener;
    this.scheduler = scheduler;
    this.lapseTime = lapseTime;
  }

  /**
   * Returns an empty registry.
   *
   * @param directory takes what servers announce
   * @param lapseTime how long a server is used after its entry has vanished
   */
  public static RegisteredServers create(
      EndpointDirectory directory,
      ServerEntryDecoder decoder,
      ServerListener listener,
      Scheduler scheduler,
      Duration lapseTime) {
    return new RegisteredServers(directory, decoder, listener, scheduler, lapseTime);
  }

  @Override
  public void onSnapshot(Snapshot snapshot) {
    snapshot.records().forEach(this::onRecord);
    Set<String> present = snapshot.keys();
    List.copyOf(entries.keySet()).stream()
        .filter(i -> !present.contains(i.value()))
        .forEach(this::lapse);
  }

  @Override
  public void onRecord(StoredRecord stored) {
    if (stored.isDrop()) {
      parseId(stored.key()).filter(entries::containsKey).ifPresent(this::lapse);
      return;
    }
    try {
      enter(decoder.decode(stored));
    } catch (IllegalArgumentException e) {
      listener.onUnreadable(stored.key(), stored.offset(), e.getMessage());
      parseId(stored.key()).filter(entries::containsKey).ifPresent(this::lapse);
    }
  }

  /** Returns the entry of a server that is used. */
  public Optional<ServerEntry> entry(InstanceId instance) {
    return Optional.ofNullable(entries.get(instance));
  }

  /** Takes a server's own word that it leaves; it counts for the server's present life. */
  public void onSaidLeaving(InstanceId instance) {
    ServerEntry known = entries.get(instance);
    if (known == null || Long.valueOf(known.beat().born()).equals(leavers.get(instance))) {
      return;
    }
    leavers.remove(instance);
    leavers.put(instance, known.beat().born());
    if (leavers.size() > MOST_LEAVERS) {
      leavers.remove(leavers.keySet().iterator().next());
    }
    listener.onSaidLeaving(instance, known.beat().born());
    put(known);
  }

  /** Returns all entries of a service's servers, leaving ones too. */
  public Collection<ServerEntry> entriesOf(ServiceName service) {
    return entries.values().stream()
        .filter(e -> e.announcement().service().equals(service))
        .toList();
  }

  /** Returns the number of servers, for the state dump. */
  public int size() {
    return entries.size();
  }

  private void enter(ServerEntry entry) {
    InstanceId instance = entry.announcement().instance();
    ServerEntry known = entries.get(instance);
    if (known != null && entry.beat().isBefore(known.beat())) {
      return;
    }
    Runnable lapse = lapsing.remove(instance);
    if (lapse != null) {
      lapse.run();
    }
    put(entry);
  }

  private void put(ServerEntry entry) {
    InstanceId instance = entry.announcement().instance();
    Long leaverBorn = leavers.get(instance);
    boolean leaves = leaverBorn != null && entry.beat().born() <= leaverBorn;
    ServerEntry believed = leaves ? entry.leaving() : entry;
    entries.put(instance, believed);
    directory.onListed(instance, leaves);
    directory.onAnnouncement(believed.announcement());
    listener.onEntry(believed);
  }

  private void lapse(InstanceId instance) {
    if (!lapsing.containsKey(instance)) {
      lapsing.put(instance, scheduler.after(lapseTime, () -> remove(instance)));
    }
  }

  private void remove(InstanceId instance) {
    lapsing.remove(instance);
    entries.remove(instance);
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
