package org.carobhoist.core.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Verdict;
import org.carobhoist.core.idempotency.DuplicatePolicy;
import org.carobhoist.core.idempotency.HomeMember;
import org.carobhoist.core.idempotency.HomeSelector;
import org.carobhoist.core.idempotency.HomeView;
import org.carobhoist.core.idempotency.IdempotencyKey;
import org.carobhoist.core.idempotency.RequestKey;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.FaultMatrix;
import org.carobhoist.core.testing.ManualClock;

/**
 * Deterministic simulation of two entries and three sidecars with their endpoints, which drives the
 * real decision classes. Except for keys minted by an entry, a caller submits each logical request
 * through both entries, resubmits it after failures and once more at the end. The checks compare
 * how often the request ran with the responses that the caller got.
 */
final class RequestSimulation {

  private static final int SIDECARS = 3;
  private static final Duration WARM_UP = Duration.ofSeconds(45);
  private static final Duration SIMULATION_END = Duration.ofSeconds(240);
  private static final Duration FINAL_RESEND = Duration.ofSeconds(150);
  private static final Duration SECOND_SUBMISSION_DELAY = Duration.ofMillis(300);
  private static final Duration RELINK_PERIOD = Duration.ofSeconds(1);
  private static final Duration PAUSE_DURATION = Duration.ofSeconds(25);
  private static final Duration FAULT_DURATION = Duration.ofSeconds(60);
  private static final List<Duration> START_TIMES =
      List.of(Duration.ZERO, Duration.ofSeconds(8), Duration.ofSeconds(20), Duration.ofSeconds(40));
  private static final List<Duration> RESEND_DELAYS =
      List.of(Duration.ofMillis(500), Duration.ofSeconds(5), Duration.ofSeconds(25));

  final SimulationRules rules;
  final ManualClock time = new ManualClock();
  final EventQueue events = new EventQueue(time);
  final Random random;
  final SimulatedLog log = new SimulatedLog(time, events);
  final DuplicatePolicy tablePolicy;
  private final List<FaultMatrix.Injection<RequestState, InjectedFault>> pendingFaults;
  private final List<SimulatedSidecar> sidecars = new ArrayList<>();
  private final List<SimulatedEntryInstance> entries = new ArrayList<>();
  private final List<LogicalRequest> requests = new ArrayList<>();
  private final LogicalRequest.Kind kind;
  long lastCallId;

  RequestSimulation(
      SimulationRules rules,
      LogicalRequest.Kind kind,
      long seed,
      List<FaultMatrix.Injection<RequestState, InjectedFault>> faults) {
    this.rules = rules;
    this.kind = kind;
    this.random = new Random(seed);
    this.pendingFaults = new ArrayList<>(faults);
    int tableCapacity = kind == LogicalRequest.Kind.CALLERS_KEY_SMALL_TABLE ? 2 : 100;
    this.tablePolicy = SimulatedSidecar.duplicatePolicy(tableCapacity);
  }

  /** Runs the whole scenario; returns the first violation, or empty. */
  Optional<String> run(Duration skewRange) {
    for (int i = 0; i < SIDECARS; i++) {
      sidecars.add(
          new SimulatedSidecar(this, i, randomDuration(skewRange).minus(skewRange.dividedBy(2))));
    }
    entries.add(new SimulatedEntryInstance(this));
    entries.add(new SimulatedEntryInstance(this));
    relink();
    for (int i = 0; i < START_TIMES.size(); i++) {
      int number = i;
      events.after(WARM_UP.plus(START_TIMES.get(i)), () -> startRequest(number));
    }
    events.after(WARM_UP.plus(FINAL_RESEND), this::resendAll);
    events.run(SIMULATION_END);
    return requests.stream().map(LogicalRequest::violation).flatMap(Optional::stream).findFirst();
  }

  /** Schedules a fault at a random entry and sidecar, at the given time after the warm-up. */
  void faultAt(Duration at, InjectedFault fault) {
    events.after(
        WARM_UP.plus(at),
        () -> {
          SimulatedEntryInstance entry = entries.get(random.nextInt(entries.size()));
          SimulatedSidecar sidecar = sidecars.get(random.nextInt(SIDECARS));
          injectFault(fault, entry, sidecar);
        });
  }

  /** Injects the pending faults of this state into the first submission of the first request. */
  void injectPendingFaults(SimulatedEntryInstance.Call call, RequestState state) {
    if (!call.isFaultTarget) {
      return;
    }
    List<FaultMatrix.Injection<RequestState, InjectedFault>> due =
        pendingFaults.stream().filter(i -> i.step() == state).toList();
    pendingFaults.removeAll(due);
    SimulatedSidecar sidecar = call.link == null ? homeSidecar() : call.link.sidecar;
    due.forEach(
        i -> events.after(Duration.ZERO, () -> injectFault(i.fault(), call.entry(), sidecar)));
    due.stream()
        .filter(i -> i.fault().ordinal() <= InjectedFault.DUPLICATE.ordinal())
        .forEach(i -> injectFault(i.fault(), call.entry(), sidecar));
  }

  RequestKey issueKey(HomeMember issuer) {
    return RequestKey.issued(issuer, IdempotencyKey.mint(time.now(), random));
  }

  void breakLinks(Predicate<SimulatedLink> which) {
    for (SimulatedEntryInstance e : entries) {
      List.copyOf(e.links.values()).stream().filter(which).forEach(SimulatedLink::breakLink);
    }
  }

  private void injectFault(
      InjectedFault fault, SimulatedEntryInstance entry, SimulatedSidecar sidecar) {
    Optional<SimulatedLink> link = Optional.ofNullable(entry.links.get(sidecar.self.instance()));
    switch (fault) {
      case DROP, DELAY, DUPLICATE -> link.ifPresent(c -> c.nextFrameFault = fault);
      case RESET -> link.ifPresent(SimulatedLink::breakLink);
      case HALF_OPEN -> link.ifPresent(this::halfOpen);
      case TRUNCATE -> link.ifPresent(c -> c.truncatesResponses = true);
      case ENTRY_CRASH -> ifUp(entry, entry::crash);
      case SIDECAR_CRASH -> ifUp(sidecar, sidecar::crash);
      case ENDPOINT_CRASH -> sidecar.crashEndpoint();
      case PAUSE -> sidecar.pausedUntil = time.elapsed().plus(PAUSE_DURATION);
      case LOST_ANSWER -> link.ifPresent(c -> c.losesResponses = true);
      case SLOW_LOG -> {
        sidecar.logUnreachableUntil = time.elapsed().plus(FAULT_DURATION);
        entry.logUnreachableUntil = time.elapsed().plus(FAULT_DURATION);
      }
      case LOG_OUTAGE -> log.downUntil = time.elapsed().plus(FAULT_DURATION);
      case EVICTION -> log.evict(sidecar.self);
    }
  }

  private static void ifUp(SimulatedProcess node, Runnable crash) {
    if (node.up) {
      crash.run();
    }
  }

  private void halfOpen(SimulatedLink link) {
    link.losesAllFrames = true;
    events.after(FAULT_DURATION, link::breakLink);
  }

  private void startRequest(int number) {
    LogicalRequest request = new LogicalRequest("work " + number, kind, key(number));
    requests.add(request);
    submit(request, 0, 0, number == 0);
    if (resendsAllowed()) {
      events.after(SECOND_SUBMISSION_DELAY, () -> submit(request, 1, 0, false));
    }
  }

  private Optional<RequestKey> key(int number) {
    return switch (kind) {
      case CALLERS_KEY, CALLERS_KEY_SMALL_TABLE -> Optional.of(callersKey());
      case ISSUED_KEY -> Optional.of(issueKey(sidecars.get(number % SIDECARS).self));
      default -> Optional.empty();
    };
  }

  /** Returns a key whose home is the first sidecar, so that faults there affect every key. */
  private RequestKey callersKey() {
    HomeView allMembers = viewOfAllSidecars();
    while (true) {
      IdempotencyKey key = IdempotencyKey.mint(time.now(), random);
      if (HomeSelector.homeOf(allMembers, key)
          .get()
          .instance()
          .equals(sidecars.get(0).self.instance())) {
        return RequestKey.ofCaller(key);
      }
    }
  }

  private HomeView viewOfAllSidecars() {
    List<HomeMember> members = sidecars.stream().map(s -> s.self).toList();
    return new HomeView(0, Instant.EPOCH, members);
  }

  private SimulatedSidecar homeSidecar() {
    return sidecars.get(0);
  }

  private boolean resendsAllowed() {
    return kind != LogicalRequest.Kind.MINTED_KEY;
  }

  private void submit(LogicalRequest request, int entry, int resends, boolean isFaultTarget) {
    LogicalRequest.Submission submission = new LogicalRequest.Submission(request);
    entries.get(entry).acceptRequest(submission, isFaultTarget);
    Duration resendTimeout = Duration.ofSeconds(12);
    events.after(
        resendTimeout,
        () -> {
          boolean completed = submission.verdict.equals(Optional.of(Verdict.COMPLETED));
          if (!completed && resendsAllowed() && resends < RESEND_DELAYS.size()) {
            events.after(
                RESEND_DELAYS.get(resends), () -> submit(request, 1 - entry, resends + 1, false));
          }
        });
  }

  private void resendAll() {
    if (resendsAllowed()) {
      requests.forEach(w -> submit(w, 0, RESEND_DELAYS.size(), false));
    }
  }

  private void relink() {
    for (SimulatedEntryInstance e : entries) {
      for (SimulatedSidecar s : sidecars) {
        InstanceId id = s.self.instance();
        if (e.up && s.up && !e.links.containsKey(id)) {
          e.links.put(id, new SimulatedLink(e, s, rules.startFilter().get()));
        }
      }
    }
    events.after(RELINK_PERIOD, this::relink);
  }

  private Duration randomDuration(Duration range) {
    return range.isZero() ? range : Duration.ofMillis(random.nextLong(range.toMillis()));
  }
}
