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
import org.carobhoist.core.rollout.Inquiries.Inquiry;

/**
 * Coordinates one step at one entry. All of its state is soft: an entry that takes over asks the
 * sidecars what they hold before it starts anything. Each sample follows the chart {@code sample}.
 *
 * <p>Missing samples are started longest expected first, within a window per engine. An attempt
 * that fails goes on elsewhere from the tokens it had. Whoever is silent is asked again: an attempt
 * that its sidecar doesn't know, or that nobody answers for, is begun again, so that no lost
 * message holds a step up. Toward the end of a step an attempt on an engine much slower than the
 * rest is handed back and resumed elsewhere; the choice goes by the engine's speed and never by the
 * sample's length, so that long samples aren't thinned out.
 *
 * <p>A group is handed over only whole, only if the trainer's cursor doesn't hold it, and only
 * after each of its samples was checked against the version that the trainer names in that very
 * request.
 */
public final class StepCoordinator {

  private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(2);
  private static final int REPLY_ROUNDS = 3;
  private static final Duration SILENCE_BEFORE_FIRST_REPORT = Duration.ofSeconds(3);
  private static final Duration SILENCE = Duration.ofSeconds(10);
  private static final Duration ACTIVE_AFTER_REQUEST = Duration.ofSeconds(10);
  private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);
  private static final int MAX_BACKOFF_DOUBLINGS = 6;
  private static final Duration MIN_AGE_TO_MIGRATE = Duration.ofSeconds(2);
  private static final double SLOW_SHARE = 0.5;
  private static final int MAX_PAGE_TOKENS = 500_000;

  private final RolloutPort port;
  private final RolloutPolicy policy;
  private final Clock clock;
  private final TrainerPace pace;
  private final RandomGenerator random;
  private final EnginePicker picker;
  private final Inquiries inquiries = new Inquiries();
  private final Map<Integer, Group> groups = new HashMap<>();
  private final TreeSet<Integer> wholeGroups = new TreeSet<>();
  private final Map<AttemptKey, SampleSlot> inFlight = new LinkedHashMap<>();
  private final List<SampleSlot> asking = new ArrayList<>();
  private final Set<InstanceId> holders = new HashSet<>();
  private final MissingSamples missing = new MissingSamples();
  private final TokenTally tally = new TokenTally();
  private final StalenessForecast forecast;
  private StepRequest request;
  private Duration lastRequest = Duration.ZERO;
  private Optional<Duration> firstStart = Optional.empty();

  private static final class Group {
    private final List<SampleSlot> slots = new ArrayList<>();
    private int whole;
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
   * Returns the coordinator of a step.
   *
   * @param pace how fast the step's trainer moves, shared by its steps
   */
  public static StepCoordinator create(
      RolloutPort port,
      RolloutPolicy policy,
      Clock clock,
      TrainerPace pace,
      RandomGenerator random) {
    return new StepCoordinator(port, policy, clock, pace, random);
  }

  /** Returns the chart that every sample follows. */
  public static StateChart<SampleState, SampleEvent, SampleAction> sampleChart() {
    return SampleSlot.chart();
  }

  /** Takes a trainer's request; the first one asks every engine what it holds. */
  public void onRequest(StepRequest next) {
    final StepRequest previous = request;
    request = next;
    lastRequest = clock.elapsed();
    pace.onVersion(next.trainerVersion(), lastRequest);
    next.prompts().forEach(this::addGroup);
    groups.forEach(this::applyCursor);
    if (previous == null) {
      port.engines().forEach(e -> askAll(e.instance(), 1));
    } else if (!previous.trainerVersion().equals(next.trainerVersion())) {
      forecast.onNewVersion(previous, next);
      dropStale();
    }
    acknowledge(previous);
    settleInquiries();
    schedule();
  }

  /** Notes that the trainer still waits here; without that, work is begun only for a while. */
  public void onStillWaiting() {
    lastRequest = clock.elapsed();
  }

  /** Takes a sidecar's answer on what it holds. What it has is taken even if it comes late. */
  public void onHeld(InstanceId engine, HeldAnswer answer) {
    answer.finished().forEach(s -> onDone(engine, s));
    answer.running().forEach(r -> onRunning(engine, r));
    inquiries.onAnswer(engine, answer.query()).ifPresent(i -> dropUnknown(i, answer));
    settleInquiries();
    schedule();
  }

  /** Takes a finished sample, from whichever attempt it is. */
  public void onDone(InstanceId engine, FinishedSample sample) {
    holders.add(engine);
    Optional<SampleSlot> found = slot(sample.attempt().sample());
    if (found.isEmpty()) {
      return;
    }
    SampleSlot slot = found.get();
    slot.flight(sample.attempt()).ifPresent(f -> learn(f, sample));
    boolean usable = !sample.tokens().isEmpty() && isFresh(sample.oldest());
    if (usable) {
      removeFlight(slot, sample.attempt(), false);
      slot.arriving = Optional.of(sample);
      boolean surplus =
          slot.whole.isPresent() && !slot.whole.get().attempt().equals(sample.attempt());
      tally.onWasted(surplus ? sample.tokens().size() : 0);
      slot.fire(SampleEvent.DONE);
    } else {
      tally.onWasted(sample.tokens().size());
      backOff(slot, engine);
      removeFlight(slot, sample.attempt(), true);
    }
    schedule();
  }

  /** Takes the failure of an attempt, with what it had made; one given up before is ignored. */
  public void onFailed(InstanceId engine, AttemptKey attempt, SamplePrefix made) {
    Optional<SampleSlot> found = slot(attempt.sample());
    if (found.isEmpty() || found.get().flight(attempt).isEmpty()) {
      return;
    }
    SampleSlot slot = found.get();
    if (!slot.flight(attempt).get().handingBack) {
      backOff(slot, engine);
    }
    slot.avoid = Optional.of(engine);
    if (made.tokens().size() > slot.prefix.tokens().size()) {
      slot.prefix = made;
    }
    removeFlight(slot, attempt, true);
    schedule();
  }

  /** Takes a sidecar's report on an attempt in flight. */
  public void onProgress(InstanceId engine, RunningAttempt report) {
    onRunning(engine, report);
  }

  /** Takes the loss of the link to an engine: its attempts are begun again elsewhere. */
  public void onEngineLost(InstanceId engine) {
    inquiries.onEngineLost(engine);
    for (SampleSlot slot : List.copyOf(inFlight.values())) {
      List.copyOf(slot.flights).stream()
          .filter(f -> f.engine.equals(engine))
          .forEach(f -> giveUp(slot, f));
    }
    settleInquiries();
    schedule();
  }

  /** Takes a new link to an engine: what it holds may save work, but nothing waits for it. */
  public void onEngineUp(InstanceId engine) {
    if (request != null) {
      ask(new Inquiry(engine, clock.elapsed(), false, Set.of(), 1));
    }
  }

  /** Looks after everything that waits for time to pass; to be called a few times a second. */
  public void tick() {
    if (request == null) {
      return;
    }
    repeatInquiries();
    askSilent();
    cancelDoomed();
    missing.readmit(clock.elapsed());
    migrateSlow();
    schedule();
  }

  /** Returns whole groups that the trainer doesn't hold and that are fresh enough for it. */
  public StepPage page() {
    List<StepPage.WholeGroup> ready = new ArrayList<>();
    int tokens = 0;
    for (int number : request.prepare() ? List.<Integer>of() : List.copyOf(wholeGroups)) {
      List<FinishedSample> samples = samples(groups.get(number));
      if (request.cursor().holds(number) || !allFresh(samples)) {
        continue;
      }
      tokens += samples.stream().mapToInt(s -> s.tokens().size()).sum();
      if (!ready.isEmpty() && tokens > MAX_PAGE_TOKENS) {
        break;
      }
      ready.add(new StepPage.WholeGroup(number, samples));
    }
    return new StepPage(request.key(), request.cursor(), request.trainerVersion(), ready);
  }

  /** Returns whether a whole group waits for the trainer. */
  public boolean hasWholeGroup() {
    return !wholeGroups.isEmpty() && !request.prepare();
  }

  /** Returns whether samples wait for an engine, so that the step can use its share of each. */
  public boolean isHungry() {
    return request != null && isActive() && nextToStart().isPresent();
  }

  /** Returns the number of attempts in flight at an engine. */
  public int inFlightAt(InstanceId engine) {
    return picker.inFlightAt(engine);
  }

  /** Returns whether the trainer holds every group that it named. */
  public boolean isComplete() {
    return request != null && request.isComplete();
  }

  /** Returns the number of attempts in flight, for the state dump. */
  public int inFlight() {
    return inFlight.size();
  }

  /** Returns the number of finished samples held, for the state dump. */
  public int held() {
    return groups.values().stream().mapToInt(g -> g.whole).sum();
  }

  /** Returns the tokens of samples that were kept. */
  public long usefulTokens() {
    return tally.useful();
  }

  /** Returns the tokens that were made in vain. */
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
      SampleSlot slot = new SampleSlot(key, prompt, this::act);
      group.slots.add(slot);
      asking.add(slot);
    }
    groups.put(prompt.group(), group);
  }

  private void applyCursor(int number, Group group) {
    SampleEvent event = request.cursor().holds(number) ? SampleEvent.ACKED : SampleEvent.REOPENED;
    group.slots.forEach(s -> s.fire(event));
  }

  private void act(SampleSlot slot, SampleAction action) {
    switch (action) {
      case ENQUEUE -> missing.add(slot);
      case KEEP -> keep(slot);
      case DROP -> drop(slot, true);
      case RELEASE -> drop(slot, false);
      case CANCEL_REST -> List.copyOf(slot.flights).forEach(f -> cancel(slot, f));
    }
  }

  private void keep(SampleSlot slot) {
    slot.whole = slot.arriving;
    slot.prefix = SamplePrefix.NONE;
    slot.failures = 0;
    tally.onKept(slot.whole.orElseThrow().tokens().size());
    Group group = groups.get(slot.key.group());
    group.whole++;
    if (group.whole == group.slots.size()) {
      wholeGroups.add(slot.key.group());
      noteIfMade();
    }
  }

  private void noteIfMade() {
    boolean made = wholeGroups.size() + request.cursor().count() >= groups.size();
    if (made && firstStart.isPresent()) {
      pace.onStepMade(clock.elapsed().minus(firstStart.get()));
    }
  }

  private void drop(SampleSlot slot, boolean wasted) {
    if (wasted) {
      tally.onDropped(slot.whole.orElseThrow().tokens().size());
    }
    slot.whole = Optional.empty();
    groups.get(slot.key.group()).whole--;
    wholeGroups.remove(slot.key.group());
  }

  private void cancel(SampleSlot slot, Flight flight) {
    port.cancel(flight.engine, flight.attempt, false);
    slot.ended.add(flight.attempt.number());
    tally.onWasted(flight.generated);
    slot.flights.remove(flight);
    inFlight.remove(flight.attempt);
    picker.onEnd(flight.engine);
  }

  private void giveUp(SampleSlot slot, Flight flight) {
    tally.onWasted(Math.max(0, flight.generated - slot.prefix.tokens().size()));
    slot.avoid = Optional.of(flight.engine);
    removeFlight(slot, flight.attempt, true);
  }

  /** Removes a flight; with {@code gone} the sample is missing again after its last one. */
  private void removeFlight(SampleSlot slot, AttemptKey attempt, boolean gone) {
    Optional<Flight> flight = slot.flight(attempt);
    if (flight.isEmpty()) {
      return;
    }
    inFlight.remove(attempt);
    slot.ended.add(attempt.number());
    picker.onEnd(flight.get().engine);
    if (gone) {
      slot.land(flight.get());
    } else {
      slot.flights.remove(flight.get());
    }
  }

  private void backOff(SampleSlot slot, InstanceId engine) {
    slot.avoid = Optional.of(engine);
    int doublings = Math.min(slot.failures++, MAX_BACKOFF_DOUBLINGS);
    slot.notBefore = clock.elapsed().plus(FIRST_BACKOFF.multipliedBy(1L << doublings));
  }

  private void onRunning(InstanceId engine, RunningAttempt report) {
    holders.add(engine);
    Optional<SampleSlot> found = slot(report.attempt().sample());
    if (found.isEmpty()) {
      return;
    }
    SampleSlot slot = found.get();
    boolean known = slot.flight(report.attempt()).isPresent();
    if (!known && !slot.ended.contains(report.attempt().number())) {
      adopt(slot, engine, report);
    }
    slot.flight(report.attempt()).ifPresent(f -> f.onProgress(report, clock.elapsed()));
  }

  private void adopt(SampleSlot slot, InstanceId engine, RunningAttempt report) {
    Flight flight =
        new Flight(report.attempt(), engine, clock.elapsed(), report.generated(), report.oldest());
    addFlight(slot, flight);
    slot.fire(SampleEvent.FOUND);
  }

  private void addFlight(SampleSlot slot, Flight flight) {
    slot.flights.add(flight);
    inFlight.put(flight.attempt, slot);
    picker.onStart(flight.engine);
    holders.add(flight.engine);
  }

  private void learn(Flight flight, FinishedSample sample) {
    flight.generated = sample.tokens().size();
    flight.lastHeard = clock.elapsed();
    picker.onRate(flight.engine, flight.rate());
    pace.onSample(sample.tokens().size(), flight.rate());
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
    return group.slots.stream().map(s -> s.whole.orElseThrow()).toList();
  }

  private void dropStale() {
    for (Group group : groups.values()) {
      group.slots.stream()
          .filter(s -> s.whole.isPresent() && !isFresh(s.whole.get().oldest()))
          .toList()
          .forEach(s -> s.fire(SampleEvent.STALE));
    }
    cancelDoomed();
  }

  /** Tells the sidecars that hold something of the step, if there is anything new to tell. */
  private void acknowledge(StepRequest previous) {
    boolean finished = request.isComplete();
    if (!finished && (previous == null || previous.cursor().equals(request.cursor()))) {
      return;
    }
    if (finished) {
      port.engines().forEach(e -> holders.add(e.instance()));
    }
    holders.forEach(e -> port.acknowledge(e, request.key(), request.cursor(), finished));
  }

  private void askAll(InstanceId engine, int round) {
    ask(new Inquiry(engine, clock.elapsed(), true, Set.of(), round));
  }

  private void ask(Inquiry inquiry) {
    long number = random.nextLong(Long.MAX_VALUE);
    inquiries.add(number, inquiry);
    port.queryHeld(inquiry.engine(), request.key(), number, List.copyOf(inquiry.attempts()));
  }

  /** An attempt that its own sidecar doesn't know was never begun there, or was forgotten. */
  private void dropUnknown(Inquiry inquiry, HeldAnswer answer) {
    Set<AttemptKey> known = new HashSet<>();
    answer.running().forEach(r -> known.add(r.attempt()));
    for (AttemptKey attempt : inquiry.attempts()) {
      SampleSlot slot = inFlight.get(attempt);
      if (slot != null && !known.contains(attempt)) {
        slot.flight(attempt).ifPresent(f -> giveUp(slot, f));
      }
    }
  }

  private void repeatInquiries() {
    Duration late = clock.elapsed().minus(REPLY_TIMEOUT);
    for (Inquiry i : inquiries.takeSentBefore(late)) {
      if (i.whole() && i.round() < REPLY_ROUNDS) {
        askAll(i.engine(), i.round() + 1);
      }
      i.attempts().forEach(this::onUnanswered);
    }
    settleInquiries();
  }

  /** Nobody answers for an attempt: after a few rounds it is begun again elsewhere. */
  private void onUnanswered(AttemptKey attempt) {
    SampleSlot slot = inFlight.get(attempt);
    if (slot == null) {
      return;
    }
    Flight flight = slot.flight(attempt).orElseThrow();
    flight.unanswered++;
    if (flight.unanswered >= REPLY_ROUNDS) {
      port.cancel(flight.engine, attempt, false);
      giveUp(slot, flight);
    }
  }

  private void settleInquiries() {
    if (asking.isEmpty() || inquiries.awaitsWhole()) {
      return;
    }
    List<SampleSlot> now = List.copyOf(asking);
    asking.clear();
    now.forEach(s -> s.fire(SampleEvent.KNOWN));
  }

  private void askSilent() {
    Duration now = clock.elapsed();
    Map<InstanceId, List<AttemptKey>> silent = new LinkedHashMap<>();
    inFlight.forEach(
        (attempt, slot) -> {
          Flight flight = slot.flight(attempt).orElseThrow();
          if (isSilent(flight, now) && !inquiries.awaits(flight.engine)) {
            silent.computeIfAbsent(flight.engine, key -> new ArrayList<>()).add(attempt);
          }
        });
    silent.forEach(
        (engine, attempts) ->
            ask(new Inquiry(engine, now, false, new LinkedHashSet<>(attempts), 1)));
  }

  private static boolean isSilent(Flight flight, Duration now) {
    boolean heard = flight.lastHeard.compareTo(flight.startedAt) > 0;
    Duration allowed = heard ? SILENCE : SILENCE_BEFORE_FIRST_REPORT;
    return now.minus(flight.lastHeard).compareTo(allowed) > 0;
  }

  private void cancelDoomed() {
    for (SampleSlot slot : List.copyOf(inFlight.values())) {
      for (Flight flight : List.copyOf(slot.flights)) {
        if (isDoomed(slot, flight)) {
          cancel(slot, flight);
          slot.prefix = SamplePrefix.NONE;
          fireGoneIfEmpty(slot);
        }
      }
    }
  }

  private static void fireGoneIfEmpty(SampleSlot slot) {
    if (slot.flights.isEmpty()) {
      slot.fire(SampleEvent.GONE);
    }
  }

  /** Certain staleness always counts, a predicted one only within the allowance for waste. */
  private boolean isDoomed(SampleSlot slot, Flight flight) {
    if (flight.oldest.isPresent() && !isFresh(flight.oldest.get())) {
      return true;
    }
    int hint = slot.prompt.expectedTokens();
    return tally.mayWaste(flight.generated, policy.maxWaste())
        && forecast.isDoomed(flight, request, hint, clock.elapsed());
  }

  /** With nothing left to start, moves attempts off engines that are much slower than the rest. */
  private void migrateSlow() {
    boolean startsLeft = missing.first(clock.elapsed()).isPresent();
    if (startsLeft || pace.tokensPerSecond() == 0 || !isActive()) {
      return;
    }
    Duration now = clock.elapsed();
    for (SampleSlot slot : List.copyOf(inFlight.values())) {
      for (Flight f : slot.flights) {
        boolean old = now.minus(f.startedAt).compareTo(MIN_AGE_TO_MIGRATE) >= 0;
        if (old
            && !f.handingBack
            && f.rate() < SLOW_SHARE * pace.tokensPerSecond()
            && hasRoomBeside(f)) {
          f.handingBack = true;
          port.cancel(f.engine, f.attempt, true);
        }
      }
    }
  }

  private boolean hasRoomBeside(Flight f) {
    List<EngineView> others =
        port.engines().stream().filter(e -> !e.instance().equals(f.engine)).toList();
    return pick(others, Optional.empty()).isPresent();
  }

  private boolean isActive() {
    return clock.elapsed().minus(lastRequest).compareTo(ACTIVE_AFTER_REQUEST) <= 0;
  }

  private Optional<InstanceId> pick(List<EngineView> engines, Optional<InstanceId> avoid) {
    boolean prepare = request.prepare();
    Duration patientUntil =
        prepare ? pace.latestBegin() : pace.awaitsSwapUntil(policy.idleWeight());
    boolean patient = clock.elapsed().compareTo(patientUntil) < 0;
    return picker.pick(engines, request.trainerVersion(), prepare, patient, avoid);
  }

  private boolean waits(SampleSlot slot) {
    return request.prepare()
        && pace.waitsForNextVersion(policy.idleWeight(), slot.prompt.expectedTokens());
  }

  private void schedule() {
    if (request == null || !isActive() || inquiries.awaitsWhole()) {
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
    return missing.first(clock.elapsed()).filter(s -> !waits(s));
  }

  private void start(SampleSlot slot, InstanceId engine) {
    if (!slot.prefix.isEmpty() && !isFresh(slot.prefix.oldest())) {
      tally.onWasted(slot.prefix.tokens().size());
      slot.prefix = SamplePrefix.NONE;
    }
    AttemptKey attempt = new AttemptKey(slot.key, random.nextInt(Integer.MAX_VALUE));
    Optional<WeightVersion> oldest =
        slot.prefix.isEmpty() ? Optional.empty() : Optional.of(slot.prefix.oldest());
    int begunWith = slot.prefix.tokens().size();
    firstStart = firstStart.or(() -> Optional.of(clock.elapsed()));
    addFlight(slot, new Flight(attempt, engine, clock.elapsed(), begunWith, oldest));
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
