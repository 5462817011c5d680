package org.carobhoist.core.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.carobhoist.core.chart.StateChart;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.rollout.PendingQueries.Query;

/**
 * Coordinates one step at one entry, that is, one of the processes that serve the trainers'
 * requests. All of its state is soft: an entry that takes over a step first queries the sidecars
 * for the samples and attempts that they hold, and only then starts attempts. Each sample follows
 * the chart {@code sample}.
 *
 * <p>Missing samples are started longest expected first, within a window per engine. A failed
 * attempt is resumed from its tokens on another engine. If no reports on an attempt arrive, its
 * sidecar is queried: an attempt that the sidecar doesn't know, or for which no reply arrives, is
 * started again, so that a lost message can't block the step. Toward the end of a step, attempts on
 * engines much slower than the average are handed back and resumed on other engines. This depends
 * only on the speed and never on the length of the sample, since otherwise long samples would be
 * underrepresented.
 *
 * <p>A group is delivered only if it is complete and the trainer's cursor doesn't hold it, and only
 * after each of its samples was checked against the weight version that the trainer names in the
 * same request.
 */
public final class StepCoordinator {

  private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_QUERY_TRIES = 3;
  private static final Duration FIRST_REPORT_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration ACTIVE_AFTER_REQUEST = Duration.ofSeconds(10);
  private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);
  private static final int MAX_BACKOFF_DOUBLINGS = 6;
  private static final Duration MIN_AGE_TO_MIGRATE = Duration.ofSeconds(2);
  private static final double SLOW_RATE_SHARE = 0.5;
  private static final int MAX_PAGE_TOKENS = 500_000;

  private final RolloutPort port;
  private final RolloutPolicy policy;
  private final Clock clock;
  private final TrainerPace pace;
  private final RandomGenerator random;
  private final EnginePicker picker;
  private final PendingQueries queries = new PendingQueries();
  private final Map<Integer, Group> groups = new HashMap<>();
  private final TreeSet<Integer> completeGroups = new TreeSet<>();
  private final Map<AttemptKey, SampleSlot> inFlight = new LinkedHashMap<>();
  private final List<SampleSlot> awaitingReplies = new ArrayList<>();
  private final Set<InstanceId> involvedEngines = new HashSet<>();
  private final MissingSamples missing = new MissingSamples();
  private final TokenTally tally = new TokenTally();
  private final StalenessForecast forecast;
  private StepRequest request;
  private Duration lastRequestAt = Duration.ZERO;
  private Optional<Duration> firstStart = Optional.empty();

  private static final class Group {
    private final List<SampleSlot> slots = new ArrayList<>();
    private int complete;
  }

  private StepCoordinator(
      RolloutPort port,
      RolloutPolicy policy,
      Clock clock,
      TrainerPace pace,
      RandomGenerator random) {
    this.port = port;
    this.policy = policy;
    this.clock = clock;
    this.pace = pace;
    this.random = random;
    this.picker = new EnginePicker(policy);
    this.forecast = new StalenessForecast(policy, pace);
  }

  /**
   * Creates the coordinator of a step.
   *
   * @param pace estimates for the step's trainer, shared by all of its steps
   */
  public static StepCoordinator create(
      RolloutPort port,
      RolloutPolicy policy,
      Clock clock,
      TrainerPace pace,
      RandomGenerator random) {
    return new StepCoordinator(port, policy, clock, pace, random);
  }

  /** Returns the chart of the state machine of a sample. */
  public static StateChart<SampleState, SampleEvent, SampleAction> sampleChart() {
    return SampleSlot.chart();
  }

  /**
   * Called when the trainer has requested the step. The first request queries every engine's
   * sidecar.
   */
  public void onRequest(StepRequest next) {
    final StepRequest previous = request;
    request = next;
    lastRequestAt = clock.elapsed();
    pace.onVersion(next.trainerVersion(), lastRequestAt);
    next.prompts().forEach(this::addGroup);
    groups.forEach(this::applyCursor);
    if (previous == null) {
      port.engines().forEach(e -> queryStep(e.instance(), 1));
    } else if (!previous.trainerVersion().equals(next.trainerVersion())) {
      forecast.onNewVersion(previous, next);
      dropStale();
    }
    acknowledge(previous);
    fireKnownIfReplied();
    schedule();
  }

  /**
   * Called while a request of the trainer is still open. Without such calls, attempts are started
   * only for a limited time after the last request.
   */
  public void onTrainerStillWaiting() {
    lastRequestAt = clock.elapsed();
  }

  /**
   * Called when a sidecar has replied to a query. Its samples and attempts are used even if the
   * reply is late.
   */
  public void onHeld(InstanceId engine, HeldSamples answer) {
    answer.finished().forEach(s -> onDone(engine, s));
    answer.running().forEach(r -> onRunning(engine, r));
    queries.onAnswer(engine, answer.query()).ifPresent(q -> abandonUnknown(q, answer));
    fireKnownIfReplied();
    schedule();
  }

  /** Called when a sidecar has reported a finished sample, of any attempt. */
  public void onDone(InstanceId engine, FinishedSample sample) {
    involvedEngines.add(engine);
    Optional<SampleSlot> found = slot(sample.attempt().sample());
    if (found.isEmpty()) {
      return;
    }
    SampleSlot slot = found.get();
    slot.tracker(sample.attempt()).ifPresent(t -> recordRate(t, sample));
    boolean usable = !sample.tokens().isEmpty() && isFresh(sample.oldest());
    if (usable) {
      removeTracker(slot, sample.attempt(), false);
      slot.received = Optional.of(sample);
      boolean isDuplicate =
          slot.complete.isPresent() && !slot.complete.get().attempt().equals(sample.attempt());
      tally.onWasted(isDuplicate ? sample.tokens().size() : 0);
      slot.fire(SampleEvent.DONE);
    } else {
      tally.onWasted(sample.tokens().size());
      backOff(slot, engine);
      removeTracker(slot, sample.attempt(), true);
    }
    schedule();
  }

  /**
   * Called when a sidecar has reported the failure of an attempt, with the tokens generated before
   * it. The failure of an abandoned attempt is ignored.
   */
  public void onFailed(InstanceId engine, AttemptKey attempt, SamplePrefix prefix) {
    Optional<SampleSlot> found = slot(attempt.sample());
    if (found.isEmpty() || found.get().tracker(attempt).isEmpty()) {
      return;
    }
    SampleSlot slot = found.get();
    if (!slot.tracker(attempt).get().handBackRequested) {
      backOff(slot, engine);
    }
    slot.avoid = Optional.of(engine);
    if (prefix.tokens().size() > slot.prefix.tokens().size()) {
      slot.prefix = prefix;
    }
    removeTracker(slot, attempt, true);
    schedule();
  }

  /** Called when a sidecar has reported the progress of an attempt in flight. */
  public void onProgress(InstanceId engine, RunningAttempt report) {
    onRunning(engine, report);
  }

  /**
   * Called when the link to an engine was lost; its attempts are started again on other engines.
   */
  public void onEngineLost(InstanceId engine) {
    queries.onEngineLost(engine);
    for (SampleSlot slot : List.copyOf(inFlight.values())) {
      List.copyOf(slot.trackers).stream()
          .filter(t -> t.engine.equals(engine))
          .forEach(t -> abandon(slot, t));
    }
    fireKnownIfReplied();
    schedule();
  }

  /**
   * Called when a link to an engine was established. Queries its sidecar, since samples that it
   * holds needn't be generated again, but starts attempts without waiting for the reply.
   */
  public void onEngineUp(InstanceId engine) {
    if (request != null) {
      sendQuery(new Query(engine, clock.elapsed(), false, Set.of(), 1));
    }
  }

  /**
   * Handles everything that depends on the passing of time. Must be called several times a second.
   */
  public void tick() {
    if (request == null) {
      return;
    }
    handleExpiredQueries();
    querySilentAttempts();
    cancelStale();
    missing.requeueAfterBackoff(clock.elapsed());
    migrateSlowAttempts();
    schedule();
  }

  /** Returns complete groups that the trainer doesn't hold and that are fresh enough for it. */
  public StepPage page() {
    List<StepPage.CompleteGroup> ready = new ArrayList<>();
    int tokens = 0;
    for (int number : request.prepare() ? List.<Integer>of() : List.copyOf(completeGroups)) {
      List<FinishedSample> samples = samples(groups.get(number));
      if (request.cursor().holds(number) || !allFresh(samples)) {
        continue;
      }
      tokens += samples.stream().mapToInt(s -> s.tokens().size()).sum();
      if (!ready.isEmpty() && tokens > MAX_PAGE_TOKENS) {
        break;
      }
      ready.add(new StepPage.CompleteGroup(number, samples));
    }
    return new StepPage(request.key(), request.cursor(), request.trainerVersion(), ready);
  }

  /** Returns whether a complete group is ready for the trainer. */
  public boolean hasCompleteGroup() {
    return !completeGroups.isEmpty() && !request.prepare();
  }

  /**
   * Returns whether there are samples to start, so that the step can use its share of each engine.
   */
  public boolean hasSamplesToStart() {
    return request != null && isActive() && nextToStart().isPresent();
  }

  /** Returns the number of attempts in flight at an engine. */
  public int inFlightAt(InstanceId engine) {
    return picker.inFlightAt(engine);
  }

  /** Returns whether the trainer holds every group that its last request named. */
  public boolean isComplete() {
    return request != null && request.isComplete();
  }

  /** Returns the number of attempts in flight; used by the state dump. */
  public int inFlight() {
    return inFlight.size();
  }

  /** Returns the number of complete samples held; used by the state dump. */
  public int held() {
    return groups.values().stream().mapToInt(g -> g.complete).sum();
  }

  /** Returns the number of tokens of the samples that were kept. */
  public long usefulTokens() {
    return tally.useful();
  }

  /** Returns the number of tokens that were generated but not used. */
  public long wastedTokens() {
    return tally.wasted();
  }

  /** Returns the state of a sample. */
  SampleState state(SampleKey key) {
    return slot(key).orElseThrow().state();
  }

  private void addGroup(StepRequest.GroupPrompt prompt) {
    if (groups.containsKey(prompt.group())) {
      return;
    }
    Group group = new Group();
    for (int i = 0; i < request.samplesPerGroup(); i++) {
      SampleKey key = new SampleKey(request.key(), prompt.group(), i);
      SampleSlot slot = new SampleSlot(key, prompt, this::executeAction);
      group.slots.add(slot);
      awaitingReplies.add(slot);
    }
    groups.put(prompt.group(), group);
  }

  private void applyCursor(int number, Group group) {
    SampleEvent event = request.cursor().holds(number) ? SampleEvent.ACKED : SampleEvent.REOPENED;
    group.slots.forEach(s -> s.fire(event));
  }

  private void executeAction(SampleSlot slot, SampleAction action) {
    switch (action) {
      case ENQUEUE -> missing.add(slot);
      case KEEP -> keep(slot);
      case DROP -> drop(slot, true);
      case RELEASE -> drop(slot, false);
      case CANCEL_REST -> List.copyOf(slot.trackers).forEach(t -> cancel(slot, t));
    }
  }

  private void keep(SampleSlot slot) {
    slot.complete = slot.received;
    slot.prefix = SamplePrefix.NONE;
    slot.failures = 0;
    tally.onKept(slot.complete.orElseThrow().tokens().size());
    Group group = groups.get(slot.key.group());
    group.complete++;
    if (group.complete == group.slots.size()) {
      completeGroups.add(slot.key.group());
      recordStepTimeIfComplete();
    }
  }

  private void recordStepTimeIfComplete() {
    boolean isStepComplete = completeGroups.size() + request.cursor().count() >= groups.size();
    if (isStepComplete && firstStart.isPresent()) {
      pace.onStepCompleted(clock.elapsed().minus(firstStart.get()));
    }
  }

  private void drop(SampleSlot slot, boolean wasted) {
    if (wasted) {
      tally.onDropped(slot.complete.orElseThrow().tokens().size());
    }
    slot.complete = Optional.empty();
    groups.get(slot.key.group()).complete--;
    completeGroups.remove(slot.key.group());
  }

  private void cancel(SampleSlot slot, AttemptTracker tracker) {
    port.cancel(tracker.engine, tracker.attempt, false);
    slot.endedAttempts.add(tracker.attempt.number());
    tally.onWasted(tracker.generated);
    slot.trackers.remove(tracker);
    inFlight.remove(tracker.attempt);
    picker.onEnd(tracker.engine);
  }

  private void abandon(SampleSlot slot, AttemptTracker tracker) {
    tally.onWasted(Math.max(0, tracker.generated - slot.prefix.tokens().size()));
    slot.avoid = Optional.of(tracker.engine);
    removeTracker(slot, tracker.attempt, true);
  }

  /**
   * Removes an attempt that is no longer in flight.
   *
   * @param fireGone whether to fire {@link SampleEvent#GONE} if it was the sample's last attempt
   */
  private void removeTracker(SampleSlot slot, AttemptKey attempt, boolean fireGone) {
    Optional<AttemptTracker> tracker = slot.tracker(attempt);
    if (tracker.isEmpty()) {
      return;
    }
    inFlight.remove(attempt);
    slot.endedAttempts.add(attempt.number());
    picker.onEnd(tracker.get().engine);
    if (fireGone) {
      slot.remove(tracker.get());
    } else {
      slot.trackers.remove(tracker.get());
    }
  }

  private void backOff(SampleSlot slot, InstanceId engine) {
    slot.avoid = Optional.of(engine);
    int doublings = Math.min(slot.failures++, MAX_BACKOFF_DOUBLINGS);
    slot.notBefore = clock.elapsed().plus(FIRST_BACKOFF.multipliedBy(1L << doublings));
  }

  private void onRunning(InstanceId engine, RunningAttempt report) {
    involvedEngines.add(engine);
    Optional<SampleSlot> found = slot(report.attempt().sample());
    if (found.isEmpty()) {
      return;
    }
    SampleSlot slot = found.get();
    boolean known = slot.tracker(report.attempt()).isPresent();
    if (!known && !slot.endedAttempts.contains(report.attempt().number())) {
      adopt(slot, engine, report);
    }
    slot.tracker(report.attempt()).ifPresent(t -> t.onProgress(report, clock.elapsed()));
  }

  private void adopt(SampleSlot slot, InstanceId engine, RunningAttempt report) {
    AttemptTracker tracker =
        new AttemptTracker(
            report.attempt(), engine, clock.elapsed(), report.generated(), report.oldest());
    addTracker(slot, tracker);
    slot.fire(SampleEvent.FOUND);
  }

  private void addTracker(SampleSlot slot, AttemptTracker tracker) {
    slot.trackers.add(tracker);
    inFlight.put(tracker.attempt, slot);
    picker.onStart(tracker.engine);
    involvedEngines.add(tracker.engine);
  }

  private void recordRate(AttemptTracker tracker, FinishedSample sample) {
    tracker.generated = sample.tokens().size();
    tracker.lastReportAt = clock.elapsed();
    picker.onRate(tracker.engine, tracker.rate());
    pace.onSample(sample.tokens().size(), tracker.rate());
  }

  private Optional<SampleSlot> slot(SampleKey key) {
    Group group = groups.get(key.group());
    boolean known =
        request != null
            && key.step().equals(request.key())
            && group != null
            && key.index() >= 0
            && key.index() < group.slots.size();
    return known ? Optional.of(group.slots.get(key.index())) : Optional.empty();
  }

  private boolean isFresh(WeightVersion oldest) {
    return policy.isFresh(oldest, request.trainerVersion());
  }

  private boolean allFresh(List<FinishedSample> samples) {
    return samples.stream().allMatch(s -> isFresh(s.oldest()));
  }

  private List<FinishedSample> samples(Group group) {
    return group.slots.stream().map(s -> s.complete.orElseThrow()).toList();
  }

  private void dropStale() {
    for (Group group : groups.values()) {
      group.slots.stream()
          .filter(s -> s.complete.isPresent() && !isFresh(s.complete.get().oldest()))
          .toList()
          .forEach(s -> s.fire(SampleEvent.STALE));
    }
    cancelStale();
  }

  /**
   * Sends the trainer's cursor to the sidecars that were involved in the step, if it has changed. A
   * completed step is reported to all sidecars.
   */
  private void acknowledge(StepRequest previous) {
    boolean finished = request.isComplete();
    if (!finished && (previous == null || previous.cursor().equals(request.cursor()))) {
      return;
    }
    if (finished) {
      port.engines().forEach(e -> involvedEngines.add(e.instance()));
    }
    involvedEngines.forEach(e -> port.acknowledge(e, request.key(), request.cursor(), finished));
  }

  private void queryStep(InstanceId engine, int tries) {
    sendQuery(new Query(engine, clock.elapsed(), true, Set.of(), tries));
  }

  private void sendQuery(Query query) {
    long number = random.nextLong(Long.MAX_VALUE);
    queries.add(number, query);
    port.queryHeld(query.engine(), request.key(), number, List.copyOf(query.attempts()));
  }

  /**
   * Abandons attempts that their own sidecar doesn't know: it never started them or dropped them.
   */
  private void abandonUnknown(Query query, HeldSamples answer) {
    Set<AttemptKey> known = new HashSet<>();
    answer.running().forEach(r -> known.add(r.attempt()));
    for (AttemptKey attempt : query.attempts()) {
      SampleSlot slot = inFlight.get(attempt);
      if (slot != null && !known.contains(attempt)) {
        slot.tracker(attempt).ifPresent(t -> abandon(slot, t));
      }
    }
  }

  private void handleExpiredQueries() {
    Duration sentBefore = clock.elapsed().minus(REPLY_TIMEOUT);
    for (Query q : queries.removeSentBefore(sentBefore)) {
      if (q.blocksStart() && q.tries() < MAX_QUERY_TRIES) {
        queryStep(q.engine(), q.tries() + 1);
      }
      q.attempts().forEach(this::onUnanswered);
    }
    fireKnownIfReplied();
  }

  /**
   * Called when no reply about an attempt arrived in time. After several tries the attempt is
   * abandoned and started again on another engine.
   */
  private void onUnanswered(AttemptKey attempt) {
    SampleSlot slot = inFlight.get(attempt);
    if (slot == null) {
      return;
    }
    AttemptTracker tracker = slot.tracker(attempt).orElseThrow();
    tracker.unansweredQueries++;
    if (tracker.unansweredQueries >= MAX_QUERY_TRIES) {
      port.cancel(tracker.engine, attempt, false);
      abandon(slot, tracker);
    }
  }

  private void fireKnownIfReplied() {
    if (awaitingReplies.isEmpty() || queries.blocksStart()) {
      return;
    }
    List<SampleSlot> slots = List.copyOf(awaitingReplies);
    awaitingReplies.clear();
    slots.forEach(s -> s.fire(SampleEvent.KNOWN));
  }

  private void querySilentAttempts() {
    Duration now = clock.elapsed();
    Map<InstanceId, List<AttemptKey>> silent = new LinkedHashMap<>();
    inFlight.forEach(
        (attempt, slot) -> {
          AttemptTracker tracker = slot.tracker(attempt).orElseThrow();
          if (isSilent(tracker, now) && !queries.hasQueryTo(tracker.engine)) {
            silent.computeIfAbsent(tracker.engine, key -> new ArrayList<>()).add(attempt);
          }
        });
    silent.forEach(
        (engine, attempts) ->
            sendQuery(new Query(engine, now, false, new LinkedHashSet<>(attempts), 1)));
  }

  private static boolean isSilent(AttemptTracker tracker, Duration now) {
    boolean hasReported = tracker.lastReportAt.compareTo(tracker.startedAt) > 0;
    Duration timeout = hasReported ? REPORT_TIMEOUT : FIRST_REPORT_TIMEOUT;
    return now.minus(tracker.lastReportAt).compareTo(timeout) > 0;
  }

  private void cancelStale() {
    for (SampleSlot slot : List.copyOf(inFlight.values())) {
      for (AttemptTracker tracker : List.copyOf(slot.trackers)) {
        if (shouldCancel(slot, tracker)) {
          cancel(slot, tracker);
          slot.prefix = SamplePrefix.NONE;
          fireGoneIfEmpty(slot);
        }
      }
    }
  }

  private static void fireGoneIfEmpty(SampleSlot slot) {
    if (slot.trackers.isEmpty()) {
      slot.fire(SampleEvent.GONE);
    }
  }

  /**
   * Returns whether an attempt should be cancelled. One that is already too stale always is; one
   * that is only predicted to be, only while the wasted tokens stay within the policy's limit.
   */
  private boolean shouldCancel(SampleSlot slot, AttemptTracker tracker) {
    if (tracker.oldest.isPresent() && !isFresh(tracker.oldest.get())) {
      return true;
    }
    int hint = slot.prompt.expectedTokens();
    return tally.mayWaste(tracker.generated, policy.maxWaste())
        && forecast.willBeTooStale(tracker, request, hint, clock.elapsed());
  }

  /**
   * If no sample can be started now, requests attempts back from engines that are much slower than
   * average, so that they resume on other engines.
   */
  private void migrateSlowAttempts() {
    boolean startsLeft = missing.first(clock.elapsed()).isPresent();
    if (startsLeft || pace.tokensPerSecond() == 0 || !isActive()) {
      return;
    }
    Duration now = clock.elapsed();
    for (SampleSlot slot : List.copyOf(inFlight.values())) {
      for (AttemptTracker t : slot.trackers) {
        boolean isOldEnough = now.minus(t.startedAt).compareTo(MIN_AGE_TO_MIGRATE) >= 0;
        if (isOldEnough
            && !t.handBackRequested
            && t.rate() < SLOW_RATE_SHARE * pace.tokensPerSecond()
            && hasCapacityElsewhere(t)) {
          t.handBackRequested = true;
          port.cancel(t.engine, t.attempt, true);
        }
      }
    }
  }

  private boolean hasCapacityElsewhere(AttemptTracker t) {
    List<EngineView> others =
        port.engines().stream().filter(e -> !e.instance().equals(t.engine)).toList();
    return pick(others, Optional.empty()).isPresent();
  }

  private boolean isActive() {
    return clock.elapsed().minus(lastRequestAt).compareTo(ACTIVE_AFTER_REQUEST) <= 0;
  }

  private Optional<InstanceId> pick(List<EngineView> engines, Optional<InstanceId> avoid) {
    boolean prepare = request.prepare();
    Duration waitDeadline =
        prepare ? pace.latestStart() : pace.swapWaitDeadline(policy.idleWeight());
    boolean canWait = clock.elapsed().compareTo(waitDeadline) < 0;
    return picker.pick(engines, request.trainerVersion(), prepare, canWait, avoid);
  }

  private boolean mustWait(SampleSlot slot) {
    return request.prepare()
        && pace.shouldWaitForNextVersion(policy.idleWeight(), slot.prompt.expectedTokens());
  }

  private void schedule() {
    if (request == null || !isActive() || queries.blocksStart()) {
      return;
    }
    Optional<SampleSlot> next = nextToStart();
    List<EngineView> engines = next.isEmpty() ? List.of() : port.engines();
    while (next.isPresent()) {
      Optional<InstanceId> engine = pick(engines, next.get().avoid);
      if (engine.isEmpty()) {
        return;
      }
      missing.removeFirst();
      start(next.get(), engine.get());
      next = nextToStart();
    }
  }

  private Optional<SampleSlot> nextToStart() {
    return missing.first(clock.elapsed()).filter(s -> !mustWait(s));
  }

  private void start(SampleSlot slot, InstanceId engine) {
    if (!slot.prefix.isEmpty() && !isFresh(slot.prefix.oldest())) {
      tally.onWasted(slot.prefix.tokens().size());
      slot.prefix = SamplePrefix.NONE;
    }
    AttemptKey attempt = new AttemptKey(slot.key, random.nextInt(Integer.MAX_VALUE));
    Optional<WeightVersion> oldest =
        slot.prefix.isEmpty() ? Optional.empty() : Optional.of(slot.prefix.oldest());
    int prefixTokens = slot.prefix.tokens().size();
    firstStart = firstStart.or(() -> Optional.of(clock.elapsed()));
    addTracker(slot, new AttemptTracker(attempt, engine, clock.elapsed(), prefixTokens, oldest));
    slot.fire(SampleEvent.START);
    port.start(
        engine,
        new AttemptOrder(
            attempt,
            slot.prompt.prompt(),
            request.maxTokens(),
            slot.prefix,
            policy.swapPolicy(),
            policy.scorer()));
  }
}
