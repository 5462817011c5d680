package org.carobhoist.server.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.membership.EndpointDirectory;
import org.carobhoist.core.membership.ListedInstance;
import org.carobhoist.server.link.AnnouncementMapper;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.LinkNetwork;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.platform.InstanceList;
import org.carobhoist.server.runtime.DecisionLoop;

/** Keeps links to the sidecars that the instance list names, and the directory of endpoints. */
final class LinkPool {

  private static final Duration LIST_PERIOD = Duration.ofSeconds(1);
  private static final String SIDECAR = "sidecar";

  private final DecisionLoop loop;
  private final InstanceList list;
  private final EndpointDirectory directory = EndpointDirectory.create();
  private final Map<InstanceId, Link> links = new HashMap<>();
  private final Set<InstanceId> opening = new HashSet<>();
  private LinkNetwork network;
  private boolean listReachable = true;

  LinkPool(DecisionLoop loop, InstanceList list) {
    this.loop = loop;
    this.list = list;
  }

  /** Begins to open links over the network. */
  void start(LinkNetwork over) {
    network = over;
    loop.execute(this::refresh);
    loop.every(LIST_PERIOD, this::refresh);
  }

  EndpointDirectory directory() {
    return directory;
  }

  Optional<Link> link(InstanceId instance) {
    return Optional.ofNullable(links.get(instance));
  }

  Set<InstanceId> linked() {
    return Set.copyOf(links.keySet());
  }

  /** Takes a link that is up. */
  void onUp(Link link) {
    if (link.peer().getRole().equals(SIDECAR)) {
      links.put(peer(link), link);
    }
  }

  /** Takes an announcement. */
  void onAnnouncement(Link link, LinkFrame frame) {
    if (links.get(peer(link)) == link) {
      directory.onAnnouncement(
          AnnouncementMapper.fromMessage(link.peer(), frame.getAnnouncement()));
    }
  }

  /** Takes the loss of a link; returns the endpoint behind it, unless a newer link leads there. */
  Optional<InstanceId> onDown(Link link) {
    if (!links.remove(peer(link), link)) {
      return Optional.empty();
    }
    directory.onLinkLost(peer(link));
    return Optional.of(peer(link));
  }

  static InstanceId peer(Link link) {
    return new InstanceId(link.peer().getInstance());
  }

  private void refresh() {
    list.read().whenCompleteAsync(this::onList, loop);
  }

  private void onList(List<ListedInstance> listed, Throwable failure) {
    if (failure != null) {
      if (listReachable) {
        EventLog.warn(LogEvent.LIST_UNREACHABLE, "cause", failure.getMessage());
      }
      listReachable = false;
      return;
    }
    listReachable = true;
    for (ListedInstance i : new ArrayList<>(listed)) {
      if (i.role().equals(SIDECAR)) {
        directory.onListed(i.instance(), i.leaving());
        open(i);
      }
    }
  }

  private void open(ListedInstance i) {
    if (i.leaving() || links.containsKey(i.instance()) || !opening.add(i.instance())) {
      return;
    }
    network
        .open(i.host(), i.port())
        .whenCompleteAsync((ok, failure) -> opening.remove(i.instance()), loop);
  }
}
