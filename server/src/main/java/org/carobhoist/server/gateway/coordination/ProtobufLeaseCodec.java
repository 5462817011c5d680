package org.carobhoist.server.gateway.coordination;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Optional;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.lease.LeaseCodec;
import org.carobhoist.core.lease.LeaseEntry;
import org.carobhoist.server.link.proto.LeaseRecord;

/** Encodes lease records as protobuf. */
public final class ProtobufLeaseCodec implements LeaseCodec {

  @Override
  public byte[] encode(LeaseEntry entry) {
    return LeaseRecord.newBuilder()
        .setHolder(entry.holder().value())
        .setIncarnation(entry.incarnation().value())
        .setTerm(entry.term())
        .setReleased(entry.released())
        .setHeir(entry.heir().map(InstanceId::value).orElse(""))
        .setOrdersSettled(entry.ordersSettled())
        .setHeldMillis(entry.heldFor().toMillis())
        .build()
        .toByteArray();
  }

  @Override
  public LeaseEntry decode(byte[] bytes) {
    try {
      LeaseRecord message = LeaseRecord.parseFrom(bytes);
      return new LeaseEntry(
          new InstanceId(message.getHolder()),
          new Incarnation(message.getIncarnation()),
          message.getTerm(),
          message.getReleased(),
          Optional.of(message.getHeir()).filter(h -> !h.isEmpty()).map(InstanceId::new),
          message.getOrdersSettled(),
          Duration.ofMillis(Math.max(0, message.getHeldMillis())));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("lease record is malformed", e);
    }
  }
}
