package org.carobhoist.server.gateway.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.carobhoist.core.common.Callbacks;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.settings.SocketAddressText;
import org.carobhoist.core.store.AppendOutcome;
import org.carobhoist.core.store.KeyedRecord;
import org.carobhoist.core.store.RecordStore;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.platform.BootSettings;
import org.carobhoist.server.gateway.store.Topics;
import org.carobhoist.server.link.proto.NodeRecord;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Writes and deletes the record by which other processes find this one; repeats failed writes. The
 * store may execute a write of a former run of this process late, so that it replaces or deletes
 * the record of this run, which is then written again.
 */
public final class NodeRegistration {

  private static final Duration RETRY_DELAY = Duration.ofMillis(300);

  private final RecordStore store;
  private final DecisionLoop loop;
  private final BooleanSupplier draining;
  private Optional<NodeRecord> registered = Optional.empty();
  private OptionalLong storedAt = OptionalLong.empty();

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

  /**
   * Writes the record of this process.
   *
   * @param startedAt when this run of the process started
   */
  public void register(BootSettings boot, Incarnation incarnation, Instant startedAt) {
    SocketAddressText address =
        new SocketAddressText(boot.peerAddress().getHostString(), boot.peerAddress().getPort());
    NodeRecord node =
        NodeRecord.newBuilder()
            .setAddress(address.toString())
            .setZone(boot.zone().value())
            .setIncarnation(incarnation.value())
            .setMilliCores(boot.milliCores())
            .setStartedMillis(startedAt.toEpochMilli())
            .build();
    registered = Optional.of(node);
    write(new KeyedRecord(boot.node().value(), node.toByteArray()));
  }

  /** Deletes the record of this process. */
  public void unregister(BootSettings boot) {
    registered = Optional.empty();
    write(KeyedRecord.tombstone(boot.node().value()));
  }

  /** Writes the record again if the given one, of a former run, has replaced or deleted it. */
  public void onOwnRecord(StoredRecord stored) throws InvalidProtocolBufferException {
    if (registered.isEmpty()
        || draining.getAsBoolean()
        || storedAt.isEmpty()
        || stored.offset() < storedAt.getAsLong()) {
      return;
    }
    NodeRecord own = registered.get();
    if (stored.isTombstone()
        || PeerMesh.isOutdated(NodeRecord.parseFrom(stored.value()), own.getStartedMillis())) {
      EventLog.warn(LogEvent.MEMBER_RECORD_REPLACED, "offset", stored.offset());
      write(new KeyedRecord(stored.key(), own.toByteArray()));
    }
  }

  private void write(KeyedRecord node) {
    store
        .append(Topics.NODES, List.of(node), OptionalLong.empty())
        .whenComplete(
            Callbacks.reported(
                (outcome, failure) -> {
                  if (failure == null && outcome instanceof AppendOutcome.Appended appended) {
                    storedAt = OptionalLong.of(appended.offset());
                  } else if (!draining.getAsBoolean() || node.value().length == 0) {
                    EventLog.warn(LogEvent.MEMBER_WRITE_FAILED, "why", failure);
                    loop.after(RETRY_DELAY, () -> write(node));
                  }
                }));
  }
}
