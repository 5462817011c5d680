package org.carobhoist.server.gateway.peer;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.settings.SocketAddressText;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.platform.BootSettings;
import org.carobhoist.server.gateway.store.Topics;
import org.carobhoist.server.link.proto.NodeRecord;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.DecisionLoop;

/** Writes and deletes the record by which other processes find this one; repeats failed writes. */
public final class NodeRegistration {

  private static final Duration RETRY_DELAY = Duration.ofMillis(300);

  private final RecordStore store;
  private final DecisionLoop loop;
  private final BooleanSupplier draining;

  /**
   * Creates a registration that isn't written yet.
   *
   * @param draining returns whether this process is stopping; then only the deletion is repeated
   */
  public NodeRegistration(RecordStore store, DecisionLoop loop, BooleanSupplier draining) {
    this.store = store;
    this.loop = loop;
    this.draining = draining;
  }

  /** Writes the record of this process. */
  public void register(BootSettings boot, Incarnation incarnation) {
    SocketAddressText address =
        new SocketAddressText(boot.peerAddress().getHostString(), boot.peerAddress().getPort());
    NodeRecord node =
        NodeRecord.newBuilder()
            .setAddress(address.toString())
            .setZone(boot.zone().value())
            .setIncarnation(incarnation.value())
            .setMilliCores(boot.milliCores())
            .build();
    write(new KeyedRecord(boot.node().value(), node.toByteArray()));
  }

  /** Deletes the record of this process. */
  public void unregister(BootSettings boot) {
    write(KeyedRecord.tombstone(boot.node().value()));
  }

  private void write(KeyedRecord node) {
    store
        .append(Topics.NODES, List.of(node), OptionalLong.empty())
        .whenComplete(
            (ok, failure) -> {
              if (failure != null && (!draining.getAsBoolean() || node.value().length == 0)) {
                EventLog.warn(LogEvent.MEMBER_WRITE_FAILED, "why", failure);
                loop.after(RETRY_DELAY, () -> write(node));
              }
            });
  }
}
