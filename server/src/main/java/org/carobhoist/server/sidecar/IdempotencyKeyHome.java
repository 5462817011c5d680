package org.carobhoist.server.sidecar;

import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.idempotency.DuplicatePolicy;
import org.carobhoist.core.idempotency.DuplicateTable;
import org.carobhoist.core.idempotency.HomeHistory;
import org.carobhoist.core.idempotency.HomeLease;
import org.carobhoist.core.idempotency.HomeMember;
import org.carobhoist.core.idempotency.HomePolicy;
import org.carobhoist.core.idempotency.HomeView;
import org.carobhoist.core.idempotency.HomeViewRegistrar;
import org.carobhoist.core.idempotency.KeyGate;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.logservice.HomeRecords;
import org.carobhoist.server.logservice.HomeViewReader;
import org.carobhoist.server.logservice.LogReadListener;
import org.carobhoist.server.logservice.PlatformLog;
import org.carobhoist.server.settings.SidecarSettings;
import org.carobhoist.server.state.StateSource;

/**
 * The state of a sidecar as a home of idempotency keys. The home of a caller-generated key is the
 * only process that may run a request with it. The state consists of the sidecar's membership in
 * the {@link HomeView} of its service, its lease and its table of known keys. Used on the decision
 * loop only.
 */
final class IdempotencyKeyHome implements StateSource {

  private final ServiceName service;
  private final EndpointKind kind;
  private final HomeMember self;
  private final PlatformLog log;
  private final HomeHistory history = HomeHistory.create();
  private final HomeLease lease;
  private final HomeViewRegistrar registrar;
  private final DuplicateTable<CachedResponse> table;
  private final KeyGate<CachedResponse> gate;

  /** State dump of this sidecar as a home of keys. */
  public record State(
      long viewOffset,
      int viewMembers,
      boolean member,
      boolean leaseValid,
      int keys,
      long answerBytes,
      String floor) {}

  private IdempotencyKeyHome(
      SidecarSettings settings, Incarnation incarnation, Clock clock, PlatformLog log) {
    this.service = settings.endpoint().service();
    this.kind = settings.endpoint().kind();
    this.self = new HomeMember(settings.instance().id(), incarnation);
    this.log = log;
    this.lease = HomeLease.create(HomePolicy.DEFAULT, clock);
    this.registrar =
        HomeViewRegistrar.create(self, this::append, clock, new SplittableRandom(), lease, history);
    this.table = DuplicateTable.create(DuplicatePolicy.DEFAULT, clock, CachedResponse::bytes);
    this.gate = KeyGate.create(self, HomePolicy.DEFAULT, clock, lease, history, table);
  }

  static IdempotencyKeyHome create(
      SidecarSettings settings, Incarnation incarnation, Clock clock, PlatformLog log) {
    return new IdempotencyKeyHome(settings, incarnation, clock, log);
  }

  DuplicateTable<CachedResponse> table() {
    return table;
  }

  KeyGate<CachedResponse> gate() {
    return gate;
  }

  /** Returns a listener that extracts the home views from the process's log reads. */
  LogReadListener listener(Executor loop) {
    return HomeViewReader.create(log, loop, this::onView, new LeaseUpdates());
  }

  /**
   * Appends a home view that adds this sidecar, or renews the current one, when due; must be called
   * several times a second. Engine requests carry no idempotency keys, so the sidecar of an engine
   * never joins.
   */
  void tick() {
    if (kind == EndpointKind.PLAIN) {
      registrar.tick();
    }
  }

  /** Removes this sidecar from the home view permanently, as part of the planned stop. */
  void leave() {
    registrar.leave();
  }

  @Override
  public String name() {
    return "keys";
  }

  @Override
  public Object state() {
    HomeView emptyView = new HomeView(0, Instant.EPOCH, List.of());
    HomeView view = history.current().orElse(emptyView);
    return new State(
        view.offset(),
        view.members().size(),
        view.contains(self),
        lease.isValid(),
        table.size(),
        table.bytes(),
        table.floor().equals(Instant.MIN) ? "none" : table.floor().toString());
  }

  private void onView(ServiceName viewService, HomeView view) {
    if (viewService.equals(service)) {
      history.add(view);
      EventLog.info(
          LogEvent.HOME_VIEW,
          "service",
          service,
          "offset",
          view.offset(),
          "members",
          view.members().size(),
          "member",
          view.contains(self));
    }
  }

  private void append(List<HomeMember> members) {
    EventLog.info(LogEvent.HOME_VIEW_APPENDED, "service", service, "members", members.size());
    log.append(HomeRecords.encode(service, members))
        .exceptionally(
            failure -> {
              EventLog.warn(LogEvent.HOME_VIEW_UNKNOWN, "cause", failure.getMessage());
              return null;
            });
  }

  private final class LeaseUpdates implements HomeViewReader.LeaseEvents {

    @Override
    public void onReadSent() {
      lease.onReadSent();
    }

    @Override
    public void onGap() {
      history.onGap();
    }

    @Override
    public void onCaughtUp() {
      lease.onCaughtUp();
    }
  }
}
