package org.carobhoist.server.gateway.store;

import java.util.function.Consumer;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.membership.EndpointPhase;
import org.carobhoist.core.membership.ServerEntry;
import org.carobhoist.core.membership.ServerListener;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;

/** Logs changes in the registry of servers, and reports servers that no longer accept work. */
public final class ServerChangeListener implements ServerListener {

  private final Consumer<InstanceId> unavailableListener;

  /** Creates a listener that logs changes and reports servers that are no longer available. */
  public ServerChangeListener(Consumer<InstanceId> unavailableListener) {
    this.unavailableListener = unavailableListener;
  }

  @Override
  public void onEntry(ServerEntry entry) {
    if (entry.announcement().phase() != EndpointPhase.SERVING) {
      EventLog.info(
          LogEvent.ENDPOINT_LEAVING,
          "endpoint",
          entry.announcement().instance(),
          "offset",
          entry.announcement().sequence());
      unavailableListener.accept(entry.announcement().instance());
    }
  }

  @Override
  public void onLeavingReported(InstanceId instance, long startedAtMillis) {
    EventLog.info(LogEvent.ENDPOINT_SAID_LEAVING, "endpoint", instance, "born", startedAtMillis);
  }

  @Override
  public void onGone(InstanceId instance) {
    EventLog.info(LogEvent.ENDPOINT_GONE, "endpoint", instance);
    unavailableListener.accept(instance);
  }

  @Override
  public void onOutdated(ServerEntry entry) {
    EventLog.warn(
        LogEvent.RECORD_SKIPPED,
        "key",
        entry.announcement().instance(),
        "offset",
        entry.announcement().sequence(),
        "why",
        "the server has been removed, and a newer entry of it was read before");
  }

  @Override
  public void onUnreadable(String key, long offset, String why) {
    EventLog.warn(LogEvent.RECORD_SKIPPED, "key", key, "offset", offset, "why", why);
  }
}
