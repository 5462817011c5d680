package org.carobhoist.server.logservice;

import java.util.Optional;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.swap.WeightOrder;
import org.carobhoist.server.link.proto.LogRecord;
import org.carobhoist.server.link.proto.WeightOrderRecord;

/** Encodes and decodes the log records that contain weight orders. */
public final class WeightOrderRecords {

  private WeightOrderRecords() {}

  /** Encodes an order as a record. The offset of the record becomes the fencing token. */
  public static byte[] encode(ServiceName model, WeightVersion version) {
    WeightOrderRecord record =
        WeightOrderRecord.newBuilder().setModel(model.value()).setVersion(version.number()).build();
    return LogRecord.newBuilder().setWeightOrder(record).build().toByteArray();
  }

  /** Decodes the order in a record of the log; empty if there is none or it is malformed. */
  public static Optional<WeightOrder> decode(LogBatch.StoredRecord stored) {
    return LogRecords.parse(stored.data()).flatMap(r -> decode(stored.offset(), r));
  }

  /** Returns the order in a record's message; empty if there is none or it is malformed. */
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
