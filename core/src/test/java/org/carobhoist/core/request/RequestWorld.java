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
import org.carobhoist.core.idempotency.HomeRing;
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
final class RequestWorld {

  private static final int SIDECARS = 3;
  private static final Duration SETTLED = Duration.ofSeconds(45);
  private static final Duration END = Duration.ofSeconds(240);
  private static final Duration LAST_RESEND = Duration.ofSeconds(150);
  private static final Duration SECOND_SENDING = Duration.ofMillis(300);
  private static final Duration RELINK = Duration.ofSeconds(1);
  private static final Duration PAUSE = Duration.ofSeconds(25);
  private static final Duration LOG_FAULT = Duration.ofSeconds(60);
  private static final List<Duration> STARTS =
      List.of(Duration.ZERO, Duration.ofSeconds(8), Duration.ofSeconds(20), Duration.ofSeconds(40));
  private static final List<Duration> RESENDS =
      List.of(Duration.ofMillis(500), Duration.ofSeconds(5), Duration.ofSeconds(25));

  final WorldRules rules;
  final ManualClock time = new ManualClock();
  final EventQueue events = new EventQueue(time);
  final Random random;
  final WorldLog log = new WorldLog(time, events);
  final DuplicatePolicy tablePolicy;
  private final List<FaultMatrix.Injection<RequestState, WorldFault>> pending;
  private final List<WorldSidecar> sidecars = new ArrayList<>();
  private final List<WorldEntry> entries = new ArrayList<>();
  private final List<WorldWork> works = new ArrayList<>();
  private final WorldWork.Kind kind;
  long calls;

  RequestWorld(
      WorldRules rules,
      WorldWork.Kind kind,
      long seed,
      List<FaultMatrix.Injection<RequestState, WorldFault>> faults) {
    this.rules = rules;
    this.kind = kind;
    this.random = new Random(seed);
    this.pending = new ArrayList<>(faults);
    int entriesKept = kind == WorldWork.Kind.CALLERS_KEY_SMALL_TABLE ? 2 : 100;
    this.tablePolicy = WorldSidecar.table(entriesKept);
  }

  /** Runs the whole scenario; returns the first violation, or empty. */
  Optional<String> run(Duration skewRange) {
    for (int i = 0; i < SIDECARS; i++) {
      sidecars.add(new WorldSidecar(this, i, draw(skewRange).minus(skewRange.dividedBy(2))));
    }
    entries.add(new WorldEntry(this));
    entries.add(new WorldEntry(this));
    keepLinks();
    for (int i = 0; i < STARTS.size(); i++) {
      int number = i;
      events.after(SETTLED.plus(STARTS.get(i)), () -> begin(number));
    }
    events.after(SETTLED.plus(LAST_RESEND), this::resendAll);
    events.run(END);
    return works.stream().map(WorldWork::fault).flatMap(Optional::stream).findFirst();
  }

  /** Schedules a fault at a random entry and sidecar, at the given time after the warm-up. */
  void faultAt(Duration at, WorldFault fault) {
    events.after(
        SETTLED.plus(at),
        () -> {
          WorldEntry entry = entries.get(random.nextInt(entries.size()));
          WorldSidecar sidecar = sidecars.get(random.nextInt(SIDECARS));
          cause(fault, entry, sidecar);
        });
  }

  /** Injects the pending faults of this state into the first submission of the first request. */
  void onState(WorldEntry.Call call, RequestState state) {
    if (!call.watched) {
      return;
    }
    List<FaultMatrix.Injection<RequestState, WorldFault>> due =
        pending.stream().filter(i -> i.step() == state).toList();
    pending.removeAll(due);
    WorldSidecar sidecar = call.channel == null ? home() : call.channel.sidecar;
    due.forEach(i -> events.after(Duration.ZERO, () -> cause(i.fault(), call.entry(), sidecar)));
    due.stream()
        .filter(i -> i.fault().ordinal() <= WorldFault.DUPLICATE.ordinal())
        .forEach(i -> cause(i.fault(), call.entry(), sidecar));
  }

  RequestKey issue(HomeMember issuer) {
    return RequestKey.issued(issuer, IdempotencyKey.mint(time.now(), random));
  }

  void breakChannels(Predicate<WorldChannel> which) {
    for (WorldEntry e : entries) {
      List.copyOf(e.channels.values()).stream().filter(which).forEach(WorldChannel::breakOff);
    }
  }

  private void cause(WorldFault fault, WorldEntry entry, WorldSidecar sidecar) {
    Optional<WorldChannel> channel =
        Optional.ofNullable(entry.channels.get(sidecar.self.instance()));
    switch (fault) {
      case DROP, DELAY, DUPLICATE -> channel.ifPresent(c -> c.armed = fault);
      case RESET -> channel.ifPresent(WorldChannel::breakOff);
      case HALF_OPEN -> channel.ifPresent(this::halfOpen);
      case TRUNCATE -> channel.ifPresent(c -> c.truncating = true);
      case ENTRY_CRASH -> ifUp(entry, entry::crash);
      case SIDECAR_CRASH -> ifUp(sidecar, sidecar::crash);
      case ENDPOINT_CRASH -> sidecar.crashEndpoint();
      case PAUSE -> sidecar.pausedUntil = time.elapsed().plus(PAUSE);
      case LOST_ANSWER -> channel.ifPresent(c -> c.answersLost = true);
      case SLOW_LOG -> {
        sidecar.logCutUntil = time.elapsed().plus(LOG_FAULT);
        entry.logCutUntil = time.elapsed().plus(LOG_FAULT);
      }
      case LOG_OUTAGE -> log.downUntil = time.elapsed().plus(LOG_FAULT);
      case EVICTION -> log.evict(sidecar.self);
    }
  }

  private static void ifUp(WorldNode node, Runnable crash) {
    if (node.up) {
      crash.run();
    }
  }

  private void halfOpen(WorldChannel channel) {
    channel.deaf = true;
    events.after(LOG_FAULT, channel::breakOff);
  }

  private void begin(int number) {
    WorldWork work = new WorldWork("work " + number, kind, key(number));
    works.add(work);
    send(work, 0, 0, number == 0);
    if (mayResend()) {
      events.after(SECOND_SENDING, () -> send(work, 1, 0, false));
    }
  }

  private Optional<RequestKey> key(int number) {
    return switch (kind) {
      case CALLERS_KEY, CALLERS_KEY_SMALL_TABLE -> Optional.of(callersKey());
      case ISSUED_KEY -> Optional.of(issue(sidecars.get(number % SIDECARS).self));
      default -> Optional.empty();
    };
  }

  /** Returns a key whose home is the first sidecar, so that faults there affect every key. */
  private RequestKey callersKey() {
    HomeView all = allView();
    while (true) {
      IdempotencyKey key = IdempotencyKey.mint(time.now(), random);
      if (HomeRing.homeOf(all, key).get().instance().equals(sidecars.get(0).self.instance())) {
        return RequestKey.ofCaller(key);
      }
    }
  }

  private HomeView allView() {
    List<HomeMember> members = sidecars.stream().map(s -> s.self).toList();
    return new HomeView(0, Instant.EPOCH, members);
  }

  private WorldSidecar home() {
    return sidecars.get(0);
  }

  private boolean mayResend() {
    return kind != WorldWork.Kind.MINTED_KEY;
  }

  private void send(WorldWork work, int entry, int resends, boolean watched) {
    WorldWork.Sending sending = new WorldWork.Sending(work);
    entries.get(entry).begin(sending, watched);
    Duration patience = Duration.ofSeconds(12);
    events.after(
        patience,
        () -> {
          boolean completed = sending.verdict.equals(Optional.of(Verdict.COMPLETED));
          if (!completed && mayResend() && resends < RESENDS.size()) {
            events.after(RESENDS.get(resends), () -> send(work, 1 - entry, resends + 1, false));
          }
        });
  }

  private void resendAll() {
    if (mayResend()) {
      works.forEach(w -> send(w, 0, RESENDS.size(), false));
    }
  }

  private void keepLinks() {
    for (WorldEntry e : entries) {
      for (WorldSidecar s : sidecars) {
        InstanceId id = s.self.instance();
        if (e.up && s.up && !e.channels.containsKey(id)) {
          e.channels.put(id, new WorldChannel(e, s, rules.starts().get()));
        }
      }
    }
    events.after(RELINK, this::keepLinks);
  }

  private Duration draw(Duration range) {
    return range.isZero() ? range : Duration.ofMillis(random.nextLong(range.toMillis()));
  }
}
