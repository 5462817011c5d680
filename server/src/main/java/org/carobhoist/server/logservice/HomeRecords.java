package org.carobhoist.server.logservice;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.idempotency.HomeMember;
import org.carobhoist.core.idempotency.HomeView;
import org.carobhoist.server.link.proto.HomeViewRecord;
import org.carobhoist.server.link.proto.LogRecord;

/** Encodes and decodes the log records that contain home views. */
public final class HomeRecords {

  private HomeRecords() {}

  /** Encodes a home view as a record. */
  public static byte[] encode(ServiceName service, List<HomeMember> members) {
    HomeViewRecord.Builder view = HomeViewRecord.newBuilder().setService(service.value());
    for (HomeMember m : members) {
      view.addMembers(
          org.carobhoist.server.link.proto.HomeMember.newBuilder()
              .setInstance(m.instance().value())
              .setIncarnation(m.incarnation().value()));
    }
    return LogRecord.newBuilder().setHomeView(view).build().toByteArray();
  }

  /** Passes the view in a record to the consumer; skips other records and malformed views. */
  public static void decode(
      LogBatch.StoredRecord stored, BiConsumer<ServiceName, HomeView> consumer) {
    Optional<HomeViewRecord> found =
        LogRecords.parse(stored.data()).filter(LogRecord::hasHomeView).map(LogRecord::getHomeView);
    if (found.isEmpty()) {
      return;
    }
    try {
      ServiceName service = new ServiceName(found.get().getService());
      consumer.accept(service, view(stored, found.get()));
    } catch (IllegalArgumentException e) {
      // Malformed ids: every reader skips the record, so all of them see the same views.
    }
  }

  private static HomeView view(LogBatch.StoredRecord stored, HomeViewRecord record) {
    List<HomeMember> members =
        record.getMembersList().stream()
            .map(
                m ->
                    new HomeMember(
                        new InstanceId(m.getInstance()), new Incarnation(m.getIncarnation())))
            .toList();
    return new HomeView(stored.offset(), Instant.ofEpochMilli(stored.timeMillis()), members);
  }
}
