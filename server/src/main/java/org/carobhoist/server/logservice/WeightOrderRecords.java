package org.carobhoist.server.logservice;

import java.util.Optional;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.swap.WeightOrder;
import org.carobhoist.server.link.proto.LogRecord;
import org.carobhoist.server.link.proto.WeightOrderRecord;

/** Turns weight orders into records of the log and back. */
public final class WeightOrderRecords {

  private WeightOrderRecords() {}

  /** Returns the bytes of an order; its fencing number will be the record's offset. */
  public static byte[] encode(ServiceName model, WeightVersion version) {
    WeightOrderRecord record =
        WeightOrderRecord.newBuilder().setModel(model.value()).setVersion(version.number()).build();
    return LogRecord.newBuilder().setWeightOrder(record).build().toByteArray();
  }

  /** Returns the order in a record of the log, or empty if it holds none or a malformed one. */
  public static Optional<WeightOrder> decode(LogBatch.StoredRecord stored) {
    return LogRecords.parse(stored.data()).flatMap(r -> decode(stored.offset(), r));
  }

  /** Returns the order in a record, or empty if it holds none or a malformed one. */
  public static Optional<WeightOrder> decode(long offset, LogRecord record) {
    if (!record.hasWeightOrder()) {
      return Optional.empty();
    }
    try {
      ServiceName model = new ServiceName(record.getWeightOrder().getModel());
      WeightVersion version = new WeightVersion(record.getWeightOrder().getVersion());
      return Optional.of(new WeightOrder(model, version, offset));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
