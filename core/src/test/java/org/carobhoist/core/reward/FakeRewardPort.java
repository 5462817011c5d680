package org.carobhoist.core.reward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.job.RewardRequest;
import org.carobhoist.core.routing.EndpointView;

/** A port with endpoints whose loads are set by tests; it chooses the least loaded endpoint. */
final class FakeRewardPort implements RewardPort {

  static final ServiceName APP = new ServiceName("app");

  final List<EndpointView> endpoints = new ArrayList<>();
  final List<SentAttempt> sent = new ArrayList<>();
  final List<Long> cancelled = new ArrayList<>();
  final List<Decision> decisions = new ArrayList<>();
  boolean alternatesServices;
  private int routeLookups;
  Optional<RewardPort.Destination> destination = Optional.of(new RewardPort.Destination(APP, 3));

  /** An attempt that was sent. */
  record SentAttempt(
      long number,
      ServiceName service,
      InstanceId endpoint,
      RewardRequest request,
      Duration timeout) {}

  static EndpointView endpoint(String id, int inFlight, int slots) {
    return new EndpointView(
        new InstanceId(id),
        APP,
        EndpointKind.PLAIN,
        new Zone("a"),
        true,
        0,
        inFlight,
        slots,
        new WeightVersion(0));
  }

  SentAttempt lastSent() {
    return sent.get(sent.size() - 1);
  }

  @Override
  public Optional<RewardPort.Destination> destination(RewardRequest request) {
    routeLookups++;
    boolean other = alternatesServices && routeLookups % 2 == 0;
    return other
        ? Optional.of(new RewardPort.Destination(new ServiceName("other"), 3))
        : destination;
  }

  @Override
  public Collection<EndpointView> endpoints(ServiceName service) {
    return endpoints;
  }

  @Override
  public Optional<InstanceId> choose(
      ServiceName service, Collection<EndpointView> among, Set<InstanceId> excluded) {
    return among.stream()
        .min(
            Comparator.comparing((EndpointView e) -> excluded.contains(e.instance()))
                .thenComparing(EndpointView::load))
        .map(EndpointView::instance);
  }

  @Override
  public void send(
      long number,
      ServiceName service,
      InstanceId endpoint,
      RewardRequest request,
      Duration timeout) {
    sent.add(new SentAttempt(number, service, endpoint, request, timeout));
  }

  @Override
  public void cancel(long number) {
    cancelled.add(number);
  }

  @Override
  public void logDecision(Decision decision, RewardKey key, Object... fields) {
    decisions.add(decision);
  }
}
