package org.carobhoist.server.logservice;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.membership.ListedInstance;
import org.carobhoist.core.settings.SocketAddressText;
import org.carobhoist.server.link.Link;
import org.carobhoist.server.link.LinkListener;
import org.carobhoist.server.link.LinkNetwork;
import org.carobhoist.server.link.proto.Hello;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Waits until every live process has applied the log up to an offset. It opens a link to each
 * process in the instance list, receives the digest that the process sends on a new link, closes
 * the link, and polls the processes that lag behind again after a short delay.
 */
public final class AppliedOffsetWatch implements AutoCloseable {

  private static final Duration POLL_PERIOD = Duration.ofMillis(250);
  private static final SocketAddressText UNUSED_ADDRESS = new SocketAddressText("127.0.0.1", 0);

  private final InstanceList list;
  private final long offset;
  private final DecisionLoop loop = DecisionLoop.create("watch");
  private final LinkNetwork network;
  private final Map<InstanceId, String> lagging = new TreeMap<>(this::compare);
  private final Set<InstanceId> upToDate = new HashSet<>();
  private final CompletableFuture<Set<String>> done = new CompletableFuture<>();

  private AppliedOffsetWatch(InstanceList list, long offset) {
    this.list = list;
    this.offset = offset;
    Hello self =
        Hello.newBuilder()
            .setInstance("operator-" + UUID.randomUUID())
            .setRole("operator")
            .setIncarnation(UUID.randomUUID().toString())
            .build();
    this.network = LinkNetwork.create(UNUSED_ADDRESS, self, new DigestListener());
  }

  /** Creates a watch for the record of the log at the given offset. */
  public static AppliedOffsetWatch of(InstanceList list, long offset) {
    return new AppliedOffsetWatch(list, offset);
  }

  /**
   * Waits until every live process is up to date or the time limit is reached.
   *
   * @return the processes that lag behind, each with its last known state; empty if there are none
   */
  public CompletableFuture<Set<String>> await(Duration timeout) {
    loop.execute(this::poll);
    loop.after(timeout, this::complete);
    return done;
  }

  @Override
  public void close() {
    network.stop().join();
    loop.stop().join();
  }

  private void poll() {
    if (!done.isDone()) {
      list.read().whenCompleteAsync(Callbacks.reported(this::onInstanceListRead), loop);
    }
  }

  /**
   * Called when a read of the instance list has ended. Opens links to the live processes that are
   * not known to be up to date, or ends the wait if there are none. If the read failed, the list
   * itself is reported as lagging until a read succeeds.
   */
  private void onInstanceListRead(List<ListedInstance> listed, Throwable failure) {
    loop.after(POLL_PERIOD, this::poll);
    if (failure != null) {
      lagging.putIfAbsent(new InstanceId("instance-list"), "can't be read");
      return;
    }
    List<ListedInstance> live = new ArrayList<>(listed);
    live.removeIf(ListedInstance::leaving);
    lagging.keySet().removeIf(id -> live.stream().noneMatch(i -> i.instance().equals(id)));
    live.forEach(this::openLink);
    if (lagging.isEmpty()) {
      complete();
    }
  }

  private void openLink(ListedInstance i) {
    if (upToDate.contains(i.instance())) {
      return;
    }
    lagging.putIfAbsent(i.instance(), "no answer");
    network.open(i.host(), i.port());
  }

  private void onDigest(Link link, long next) {
    InstanceId peer = new InstanceId(link.peer().getInstance());
    link.close();
    if (next > offset) {
      upToDate.add(peer);
      lagging.remove(peer);
    } else {
      lagging.put(peer, "has read the log up to " + (next - 1));
    }
  }

  private void complete() {
    Set<String> names = new TreeSet<>();
    lagging.forEach((id, status) -> names.add(id + ": " + status));
    done.complete(names);
  }

  private int compare(InstanceId a, InstanceId b) {
    return a.value().compareTo(b.value());
  }

  private final class DigestListener implements LinkListener {

    @Override
    public void onUp(Link link) {}

    @Override
    public void onFrame(Link link, LinkFrame frame) {
      if (frame.hasPeerDigest()) {
        loop.execute(() -> onDigest(link, frame.getPeerDigest().getNextOffset()));
      }
    }

    @Override
    public void onDown(Link link) {}
  }
}
