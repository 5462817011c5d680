package org.carobhoist.core.rollout;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.common.StepId;
import org.carobhoist.core.common.TrainerId;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.rollout.RolloutPolicy.SwapPolicy;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;

/**
 * Simulates trainers, entries, sidecars and engines in virtual time. Entries and sidecars run the
 * real coordinator, store and assembler. Each token encodes the weight version that produced it,
 * independently of the version that the engine's stream names, so that the attribution of every
 * group that a trainer accepts can be checked.
 */
final class RolloutSimulation {

  static final int VERSION_FACTOR = 100_000;
  static final Duration MAX_DELAY = Duration.ofMillis(5);
  private static final int SLOW_ENGINE_FACTOR = 3;
  private static final int CHUNK_TOKENS = 8;
  private static final Duration POLL = Duration.ofSeconds(1);
  private static final Duration POLL_PERIOD = Duration.ofMillis(250);
  private static final Duration POLL_TIMEOUT = Duration.ofMillis(1500);
  private static final Duration TICK = Duration.ofMillis(200);

  /** Points in the life of the target sample, which is the first one of the first step. */
  enum LifePoint {
    ASKING,
    MISSING,
    STARTED,
    STREAMING,
    STORED,
    WHOLE,
    PAGED,
    HELD
  }

  private final RolloutSetup setup;
  private final SplittableRandom random;
  private final ManualClock clock = new ManualClock();
  private final EventQueue events = new EventQueue(clock);
  private final Entry[] entries;
  private final Sidecar[] sidecars;
  private final Engine[] engines;
  private final List<Trainer> trainers = new ArrayList<>();
  private final SampleKey target;
  private final Set<LifePoint> reached = new HashSet<>();
  private final Consumer<LifePoint> onPoint;
  private Optional<String> failure = Optional.empty();
  private int targetEntry;
  private int targetEngine;
  private Duration lossUntil = Duration.ZERO;
  private Duration delayUntil = Duration.ZERO;
  private Duration duplicateUntil = Duration.ZERO;
  final Map<SampleKey, Integer> completions = new HashMap<>();
  final List<Long> staleness = new ArrayList<>();
  Duration idle = Duration.ZERO;
  long usefulTokens;
  long generatedTokens;
  long messages;
  long wastedTokens;

  RolloutSimulation(RolloutSetup setup, SplittableRandom random, Consumer<LifePoint> onPoint) {
    this.setup = setup;
    this.random = random;
    this.onPoint = onPoint;
    this.entries = new Entry[setup.entries()];
    this.sidecars = new Sidecar[setup.engines()];
    this.engines = new Engine[setup.engines()];
    this.target = new SampleKey(step(0, 0), 0, 0);
  }

  /** Runs until every trainer has trained all its steps; returns the first failure, or empty. */
  Optional<String> run(Duration limit) {
    for (int i = 0; i < engines.length; i++) {
      engines[i] = new Engine(i);
      sidecars[i] = new Sidecar(i);
    }
    for (int i = 0; i < entries.length; i++) {
      entries[i] = new Entry(i);
    }
    for (int i = 0; i < setup.trainers(); i++) {
      trainers.add(new Trainer(i));
    }
    trainers.forEach(Trainer::begin);
    tick();
    while (failure.isEmpty() && !isDone() && clock.elapsed().compareTo(limit) < 0) {
      events.run(clock.elapsed().plus(TICK));
    }
    if (failure.isEmpty() && !isDone()) {
      fail("a step never completed");
    }
    return failure;
  }

  /** Schedules a task after a delay. */
  void at(Duration time, Runnable task) {
    events.after(time, task);
  }

  Duration elapsed() {
    return clock.elapsed();
  }

  private boolean isDone() {
    return trainers.stream().allMatch(t -> t.trained >= setup.steps());
  }

  private void tick() {
    for (Entry e : entries) {
      if (e != null) {
        e.coordinators.values().forEach(StepCoordinator::tick);
        e.answerOpenRequests();
      }
    }
    for (Sidecar s : sidecars) {
      if (s != null) {
        s.report();
      }
    }
    for (Engine e : engines) {
      e.followTrainers();
    }
    events.after(TICK, this::tick);
  }

  private void fail(String why) {
    failure = failure.or(() -> Optional.of(why + " at " + clock.elapsed().toMillis() + " ms"));
  }

  private void recordPoint(LifePoint point) {
    if (reached.add(point)) {
      events.after(Duration.ZERO, () -> onPoint.accept(point));
    }
  }

  private static StepKey step(int trainer, int number) {
    return new StepKey(
        new ProfileName("p"), new TrainerId("t" + trainer), new StepId("s" + number));
  }

  private static InstanceId id(int engine) {
    return new InstanceId("e" + engine);
  }

  /** Delivers a message, unless a fault makes the network lose, delay or duplicate it. */
  private void send(Runnable deliver) {
    messages++;
    if (clock.elapsed().compareTo(lossUntil) < 0) {
      return;
    }
    Duration delay = Duration.ofMillis(1 + random.nextInt((int) MAX_DELAY.toMillis()));
    if (clock.elapsed().compareTo(delayUntil) < 0) {
      delay = delay.plusSeconds(4);
    }
    events.after(delay, deliver);
    if (clock.elapsed().compareTo(duplicateUntil) < 0) {
      events.after(delay.plusMillis(700), deliver);
    }
  }

  private void toEntry(int entry, Consumer<Entry> message) {
    send(() -> Optional.ofNullable(entries[entry]).ifPresent(message));
  }

  private void toSidecar(int engine, Consumer<Sidecar> message) {
    send(() -> Optional.ofNullable(sidecars[engine]).ifPresent(s -> s.whenNotPaused(message)));
  }

  // Faults.

  void crashEntry() {
    int i = targetEntry;
    entries[i] = null;
    events.after(Duration.ofMillis(500), () -> entries[i] = new Entry(i));
  }

  void crashSidecar() {
    int i = targetEngine;
    sidecars[i] = null;
    engines[i].cutStreams();
    events.after(Duration.ofMillis(50), () -> eachEntry(e -> e.onEngineLost(i)));
    events.after(
        Duration.ofMillis(800),
        () -> {
          sidecars[i] = new Sidecar(i);
          eachEntry(e -> e.onEngineUp(i));
        });
  }

  void crashEngine() {
    crashEngine(targetEngine);
  }

  void crashEngine(int index) {
    Engine e = engines[index];
    e.alive = false;
    e.cutStreams();
    events.after(Duration.ofMillis(700), e::restart);
  }

  void crashTrainer() {
    trainers.get(0).crash();
  }

  void loseMessages() {
    lossUntil = clock.elapsed().plusMillis(200);
  }

  void delayMessages() {
    delayUntil = clock.elapsed().plusMillis(200);
  }

  void duplicateMessages() {
    duplicateUntil = clock.elapsed().plusMillis(400);
  }

  /**
   * Sends all entries a sample of an unknown step and one of an unknown group of the target's step,
   * and the sidecar a cancellation without an attempt.
   */
  void sendUnknownSamples() {
    SampleKey other = new SampleKey(step(0, 7), 0, 0);
    for (SampleKey key : List.of(other, new SampleKey(target.step(), 99, 0))) {
      FinishedSample unknown =
          new FinishedSample(
              new AttemptKey(key, 5),
              List.of(VERSION_FACTOR),
              List.of(new VersionSpan(new WeightVersion(1), 0, 1)),
              "",
              "stop");
      eachEntry(e -> e.onDone(targetEngine, unknown));
    }
    Optional.ofNullable(sidecars[targetEngine]).ifPresent(s -> s.onCancel(null, false));
  }

  void swapWeights() {
    engines[targetEngine].version++;
  }

  /** The engine falls back to an old version without its sidecar's knowledge. */
  void failSwap() {
    Engine e = engines[targetEngine];
    e.announced = e.version;
    e.version = Math.max(1, e.version - 1);
    e.cutStreams();
    events.after(Duration.ofSeconds(2), e::restart);
  }

  void pauseSidecar() {
    Optional.ofNullable(sidecars[targetEngine])
        .ifPresent(s -> s.pausedUntil = clock.elapsed().plusSeconds(12));
  }

  void omitVersion() {
    Engine e = engines[targetEngine];
    e.omitsVersion = true;
    events.after(Duration.ofSeconds(1), () -> e.omitsVersion = false);
  }

  void cutStreams() {
    engines[targetEngine].cutStreams();
  }

  void advanceTrainer() {
    trainers.get(0).version += 2;
  }

  private void eachEntry(Consumer<Entry> event) {
    for (Entry e : entries) {
      Optional.ofNullable(e).ifPresent(event);
    }
  }

  /** An entry with its coordinators and the trainers' open requests. */
  private final class Entry {

    private final int index;
    private final Map<StepKey, StepCoordinator> coordinators = new LinkedHashMap<>();
    private final EngineShares engineShares = EngineShares.create();
    private final Map<TrainerId, TrainerPace> paces = new HashMap<>();
    private final Map<StepKey, OpenRequest> openRequests = new LinkedHashMap<>();
    private final Set<Integer> links = new LinkedHashSet<>();

    private record OpenRequest(StepRequest request, Duration deadline, Consumer<StepPage> reply) {}

    private Entry(int index) {
      this.index = index;
      IntStream.range(0, engines.length).filter(i -> sidecars[i] != null).forEach(links::add);
    }

    private void onRequest(StepRequest received, Consumer<StepPage> reply) {
      Optional.ofNullable(openRequests.remove(received.key())).ifPresent(this::reply);
      StepRequest request = setup.seams().checkedRequest.apply(received);
      StepCoordinator c = coordinators.computeIfAbsent(request.key(), this::coordinator);
      if (request.key().equals(target.step())) {
        targetEntry = index;
      }
      c.onRequest(request);
      if (request.isComplete()) {
        wastedTokens += coordinators.remove(request.key()).wastedTokens();
        engineShares.remove(request.key());
        return;
      }
      if (!request.prepare()) {
        openRequests.put(
            received.key(), new OpenRequest(received, clock.elapsed().plus(POLL), reply));
      }
      answerOpenRequests();
    }

    private StepCoordinator coordinator(StepKey key) {
      TrainerPace pace = paces.computeIfAbsent(key.trainer(), t -> TrainerPace.create());
      StepCoordinator created =
          StepCoordinator.create(new Port(key), setup.policy(), clock, pace, random.split());
      engineShares.add(key, created);
      return created;
    }

    private void onDone(int engine, FinishedSample sample) {
      step(sample.attempt()).ifPresent(c -> c.onDone(id(engine), sample));
      answerOpenRequests();
    }

    private void onFailed(int engine, AttemptKey attempt, SamplePrefix prefix) {
      step(attempt).ifPresent(c -> c.onFailed(id(engine), attempt, prefix));
      answerOpenRequests();
    }

    private void onProgress(int engine, RunningAttempt report) {
      step(report.attempt()).ifPresent(c -> c.onProgress(id(engine), report));
    }

    private void onHeld(int engine, StepKey key, HeldSamples reply) {
      Optional.ofNullable(coordinators.get(key)).ifPresent(c -> c.onHeld(id(engine), reply));
      answerOpenRequests();
    }

    private Optional<StepCoordinator> step(AttemptKey attempt) {
      return Optional.ofNullable(coordinators.get(attempt.sample().step()));
    }

    private void onEngineLost(int engine) {
      links.remove(engine);
      coordinators.values().forEach(c -> c.onEngineLost(id(engine)));
    }

    private void onEngineUp(int engine) {
      links.add(engine);
      coordinators.values().forEach(c -> c.onEngineUp(id(engine)));
    }

    private void answerOpenRequests() {
      reportTargetState();
      for (Map.Entry<StepKey, OpenRequest> e : List.copyOf(openRequests.entrySet())) {
        OpenRequest r = e.getValue();
        StepCoordinator c = coordinators.get(r.request().key());
        if (c != null && (c.hasCompleteGroup() || r.deadline().compareTo(clock.elapsed()) <= 0)) {
          openRequests.remove(e.getKey());
          reply(r);
        }
      }
    }

    private void reply(OpenRequest r) {
      StepCoordinator c = coordinators.get(r.request().key());
      if (c == null) {
        return;
      }
      StepPage page = c.page();
      StepPage stamped =
          new StepPage(page.key(), page.cursor(), r.request().trainerVersion(), page.groups());
      reportTargetPaged(stamped);
      send(() -> r.reply().accept(stamped));
    }

    private void reportTargetState() {
      StepCoordinator c = coordinators.get(target.step());
      if (c == null || reached.contains(LifePoint.WHOLE)) {
        return;
      }
      switch (c.state(target)) {
        case ASKING -> recordPoint(LifePoint.ASKING);
        case MISSING -> recordPoint(LifePoint.MISSING);
        case WHOLE -> recordPoint(LifePoint.WHOLE);
        default -> {}
      }
    }

    private void reportTargetPaged(StepPage page) {
      boolean has = page.groups().stream().anyMatch(g -> g.group() == target.group());
      if (page.key().equals(target.step()) && has) {
        recordPoint(LifePoint.PAGED);
      }
    }

    private final class Port implements RolloutPort {

      private final StepKey key;

      private Port(StepKey key) {
        this.key = key;
      }

      @Override
      public List<EngineView> engines() {
        List<EngineView> views = new ArrayList<>();
        EngineShares.Windows windows = engineShares.windowsOf(key);
        for (int i : links) {
          WeightVersion version = new WeightVersion(engines[i].announced);
          views.add(new EngineView(id(i), version, windows.at(id(i), setup.engineLimit())));
        }
        return views;
      }

      @Override
      public void queryHeld(
          InstanceId engine, StepKey step, long query, List<AttemptKey> attempts) {
        toSidecar(number(engine), s -> s.onQuery(index, step, query, attempts));
      }

      @Override
      public void start(InstanceId engine, AttemptOrder order) {
        if (order.attempt().sample().equals(target)) {
          targetEngine = number(engine);
          recordPoint(LifePoint.MISSING);
          recordPoint(LifePoint.STARTED);
        }
        toSidecar(number(engine), s -> s.onStart(index, order));
      }

      @Override
      public void cancel(InstanceId engine, AttemptKey attempt, boolean handBack) {
        toSidecar(number(engine), s -> s.onCancel(attempt, handBack));
      }

      @Override
      public void acknowledge(
          InstanceId engine, StepKey step, GroupCursor cursor, boolean finished) {
        toSidecar(number(engine), s -> s.onAck(step, cursor, finished));
      }

      private static int number(InstanceId engine) {
        return Integer.parseInt(engine.value().substring(1));
      }
    }
  }

  /** A sidecar with a queue, the real store and the real assembler. */
  private final class Sidecar {

    private final int index;
    private final SampleStore store = SampleStore.create(clock);
    private final Map<AttemptKey, AttemptRun> runs = new LinkedHashMap<>();
    private final Deque<AttemptRun> queue = new ArrayDeque<>();
    private Duration pausedUntil = Duration.ZERO;
    private int running;

    private final class AttemptRun {
      private final AttemptOrder order;
      private final SampleAssembler assembler;
      private final Set<Integer> listeners = new LinkedHashSet<>();
      private boolean isRunning;
      private boolean ended;

      private AttemptRun(AttemptOrder order, int entry) {
        this.order = order;
        this.assembler =
            SampleAssembler.create(order.attempt(), order.prefix(), order.swapPolicy());
        listeners.add(entry);
      }
    }

    private Sidecar(int index) {
      this.index = index;
    }

    private void whenNotPaused(Consumer<Sidecar> message) {
      if (pausedUntil.compareTo(clock.elapsed()) <= 0) {
        message.accept(this);
        return;
      }
      events.after(
          pausedUntil.minus(clock.elapsed()),
          () -> {
            if (sidecars[index] == this) {
              message.accept(this);
            }
          });
    }

    private void onStart(int entry, AttemptOrder received) {
      AttemptOrder order =
          new AttemptOrder(
              received.attempt(),
              received.prompt(),
              received.maxTokens(),
              setup.seams().resumePrefix.apply(received.prefix()),
              received.swapPolicy(),
              received.scorer());
      if (!store.begin(order.attempt())) {
        return;
      }
      AttemptRun run = new AttemptRun(order, entry);
      runs.put(order.attempt(), run);
      queue.add(run);
      startQueued();
    }

    private void startQueued() {
      while (running < setup.engineLimit() && !queue.isEmpty()) {
        AttemptRun run = queue.poll();
        run.isRunning = true;
        running++;
        int from = run.assembler.size();
        engines[index].stream(this, run.order, from, (t, v, end) -> onChunk(run, t, v, end));
      }
    }

    private void onChunk(
        AttemptRun run, List<Integer> tokens, Optional<Long> version, boolean end) {
      if (run.ended) {
        return;
      }
      if (end) {
        run.assembler.onFinishReason(tokens == null ? "" : "stop");
        onEnd(run, tokens != null);
        return;
      }
      if (run.order.attempt().sample().equals(target)) {
        recordPoint(LifePoint.STREAMING);
      }
      Optional<WeightVersion> named =
          setup
              .seams()
              .attribution
              .apply(
                  version.map(WeightVersion::new),
                  Optional.of(new WeightVersion(engines[index].announced)));
      SampleAssembler.ChunkResult result = run.assembler.add(tokens, "", named);
      if (result != SampleAssembler.ChunkResult.YES) {
        onAbandoned(run);
      }
    }

    private void onEnd(AttemptRun run, boolean sawEndMark) {
      boolean counts = setup.seams().countsAsComplete.test(sawEndMark);
      if (counts && !sawEndMark) {
        run.assembler.onFinishReason("stop");
      }
      Optional<FinishedSample> finished = run.assembler.finish(counts);
      if (finished.isEmpty()) {
        onAbandoned(run);
        return;
      }
      end(run);
      FinishedSample sample = finished.get();
      store.finish(sample);
      completions.merge(sample.attempt().sample(), 1, Integer::sum);
      if (sample.attempt().sample().equals(target)) {
        recordPoint(LifePoint.STORED);
      }
      run.listeners.forEach(e -> toEntry(e, entry -> entry.onDone(index, sample)));
      setup.seams().afterReport.accept(() -> store.drop(sample.attempt()));
    }

    private void onAbandoned(AttemptRun run) {
      SamplePrefix prefix = run.assembler.prefix();
      AttemptKey attempt = run.order.attempt();
      end(run);
      store.drop(attempt);
      run.listeners.forEach(e -> toEntry(e, entry -> entry.onFailed(index, attempt, prefix)));
    }

    private void end(AttemptRun run) {
      run.ended = true;
      runs.remove(run.order.attempt());
      queue.remove(run);
      running -= run.isRunning ? 1 : 0;
      startQueued();
    }

    private void onCancel(AttemptKey attempt, boolean handBack) {
      AttemptRun run = runs.get(attempt);
      if (run == null) {
        return;
      }
      if (handBack) {
        onAbandoned(run);
        return;
      }
      end(run);
      store.drop(attempt);
    }

    private void onQuery(int entry, StepKey step, long query, List<AttemptKey> attempts) {
      List<FinishedSample> finished =
          store.finished(step).stream()
              .filter(s -> attempts.isEmpty() || attempts.contains(s.attempt()))
              .toList();
      List<RunningAttempt> progress = new ArrayList<>();
      for (AttemptKey key : store.running(step)) {
        if (attempts.isEmpty() || attempts.contains(key)) {
          runs.get(key).listeners.add(entry);
          progress.add(runs.get(key).assembler.progress());
        }
      }
      attempts.stream()
          .filter(a -> !runs.containsKey(a) && setup.seams().reportsRunning.test(false))
          .forEach(a -> progress.add(new RunningAttempt(a, 0, Optional.empty())));
      HeldSamples reply = new HeldSamples(query, finished, progress);
      toEntry(entry, e -> e.onHeld(index, step, reply));
    }

    private void onAck(StepKey step, GroupCursor cursor, boolean finished) {
      List<AttemptKey> unneeded = finished ? store.forget(step) : store.acknowledge(step, cursor);
      unneeded.forEach(a -> onCancel(a, false));
    }

    private void report() {
      if (pausedUntil.compareTo(clock.elapsed()) > 0) {
        return;
      }
      for (AttemptRun run : runs.values()) {
        RunningAttempt report = run.assembler.progress();
        run.listeners.forEach(e -> toEntry(e, entry -> entry.onProgress(index, report)));
      }
    }
  }

  private interface ChunkSink {

    /** Called with a chunk, or at the end of the stream, with {@code null} tokens if it was cut. */
    void accept(List<Integer> tokens, Optional<Long> version, boolean end);
  }

  /** An engine; only the engine itself knows the version that it actually serves. */
  private final class Engine {

    private final int index;
    private long version = 1;
    private long announced = 1;
    private long orderedVersion = 1;
    private boolean alive = true;
    private boolean omitsVersion;
    private int epoch;

    private Engine(int index) {
      this.index = index;
    }

    private void stream(Sidecar owner, AttemptOrder order, int from, ChunkSink sink) {
      next(owner, order, from, sink, epoch);
    }

    private void next(Sidecar owner, AttemptOrder order, int at, ChunkSink sink, int startEpoch) {
      boolean slow = setup.slowEvery() > 0 && index % setup.slowEvery() == 0;
      events.after(
          slow ? setup.chunkTime().multipliedBy(SLOW_ENGINE_FACTOR) : setup.chunkTime(),
          () -> {
            if (sidecars[index] != owner) {
              return;
            }
            boolean cut = startEpoch != epoch || !alive;
            owner.whenNotPaused(s -> chunk(owner, order, at, sink, startEpoch, cut));
          });
    }

    private void chunk(
        Sidecar owner, AttemptOrder order, int at, ChunkSink sink, int startEpoch, boolean cut) {
      if (cut) {
        sink.accept(null, Optional.empty(), true);
        return;
      }
      int length = setup.sampleLength().applyAsInt(order.attempt().sample());
      int count = Math.min(CHUNK_TOKENS, length - at);
      if (count <= 0) {
        sink.accept(List.of(), Optional.empty(), true);
        return;
      }
      long producedBy = version;
      generatedTokens += count;
      List<Integer> tokens =
          IntStream.range(at, at + count)
              .mapToObj(i -> (int) (producedBy * VERSION_FACTOR + i))
              .toList();
      sink.accept(tokens, omitsVersion ? Optional.empty() : Optional.of(producedBy), false);
      if (owner.runs.containsKey(order.attempt())) {
        next(owner, order, at + count, sink, startEpoch);
      }
    }

    private void cutStreams() {
      epoch++;
    }

    /** Restarts with the initial weights. */
    private void restart() {
      alive = true;
      version = 1;
      announced = 1;
      orderedVersion = 1;
    }

    private void followTrainers() {
      long newest = trainers.stream().mapToLong(t -> t.version).max().orElse(1);
      if (alive && newest > Math.max(orderedVersion, version)) {
        orderedVersion = newest;
        events.after(
            Duration.ofMillis(50 + 100L * index),
            () -> {
              if (alive && newest > version) {
                version = newest;
                announced = newest;
              }
            });
      }
    }
  }

  /** A trainer; its cursors and version survive its crashes. */
  private final class Trainer {

    private final int index;
    private final TreeMap<Integer, GroupCursor> cursors = new TreeMap<>();
    private final Map<StepKey, Set<Integer>> acceptedGroups = new HashMap<>();
    private long version = 1;
    private int trained;
    private int epoch;
    private int entry;
    private int batch;
    private boolean training;
    private Duration idleSince = Duration.ZERO;
    private Duration lastAnswer = Duration.ZERO;

    private Trainer(int index) {
      this.index = index;
      this.entry = index % entries.length;
    }

    private void begin() {
      openSteps();
      poll(epoch);
    }

    private void openSteps() {
      int count = training ? setup.stepsAhead() : Math.max(1, setup.stepsAhead());
      for (int s = trained; s < Math.min(trained + count, stepsToOpen()); s++) {
        if (!isComplete(s)) {
          cursors.putIfAbsent(s, GroupCursor.empty());
        }
      }
    }

    /**
     * Returns the number of steps to open. First-come training may leave some groups of the last
     * ones unused.
     */
    private int stepsToOpen() {
      return setup.firstCome() ? setup.steps() + setup.stepsAhead() : setup.steps();
    }

    private boolean isComplete(int number) {
      return acceptedGroups.getOrDefault(step(index, number), Set.of()).size() == setup.groups();
    }

    private StepRequest request(int number) {
      List<StepRequest.GroupPrompt> prompts = new ArrayList<>();
      for (int g = 0; g < setup.groups(); g++) {
        if (!cursors.get(number).holds(g)) {
          prompts.add(
              new StepRequest.GroupPrompt(
                  g, "prompt " + g, setup.lengthHint().applyAsInt(step(index, number), g)));
        }
      }
      boolean prepare = training || (!setup.firstCome() && number != trained);
      return new StepRequest(
          step(index, number),
          new WeightVersion(version),
          setup.samples(),
          VERSION_FACTOR,
          cursors.get(number),
          prompts,
          prepare);
    }

    private void poll(int startEpoch) {
      if (startEpoch != epoch || trained >= setup.steps()) {
        return;
      }
      boolean timedOut = clock.elapsed().minus(lastAnswer).compareTo(POLL_TIMEOUT) > 0;
      if (!training && timedOut) {
        entry = (entry + 1) % entries.length;
        lastAnswer = clock.elapsed();
      }
      for (int number : List.copyOf(cursors.keySet())) {
        StepRequest request = request(number);
        toEntry(entry, e -> e.onRequest(request, page -> onPage(startEpoch, number, page)));
      }
      events.after(training ? POLL : POLL_PERIOD, () -> poll(startEpoch));
    }

    private void onPage(int startEpoch, int number, StepPage page) {
      if (startEpoch == epoch) {
        lastAnswer = clock.elapsed();
        accept(number, page);
      }
    }

    private void accept(int number, StepPage page) {
      if (!cursors.containsKey(number) || training) {
        return;
      }
      StepRequest current = request(number);
      if (!setup.seams().acceptsPage.test(page, current)) {
        return;
      }
      GroupCursor cursor = cursors.get(number);
      for (StepPage.CompleteGroup g : page.groups()) {
        check(g, page.key());
        cursor = cursor.with(g.group());
        batch++;
      }
      cursors.put(number, cursor);
      if (isComplete(number)) {
        finish(number);
      }
      if (batch >= setup.groups()) {
        train();
      }
    }

    private void finish(int number) {
      StepRequest last = request(number);
      StepRequest done =
          new StepRequest(
              last.key(),
              last.trainerVersion(),
              last.samplesPerGroup(),
              last.maxTokens(),
              last.cursor(),
              List.of(),
              false);
      cursors.remove(number);
      toEntry(entry, e -> e.onRequest(done, page -> {}));
    }

    private void train() {
      batch -= setup.groups();
      training = true;
      idle = idle.plus(trained == 0 ? Duration.ZERO : clock.elapsed().minus(idleSince));
      trained++;
      openSteps();
      epoch++;
      poll(epoch);
      events.after(
          setup.trainTime(),
          () -> {
            training = false;
            lastAnswer = clock.elapsed();
            idleSince = clock.elapsed();
            version++;
            if (batch >= setup.groups()) {
              train();
            } else {
              openSteps();
              epoch++;
              poll(epoch);
            }
          });
    }

    private void crash() {
      epoch++;
      events.after(Duration.ofMillis(600), this::begin);
    }

    private void check(StepPage.CompleteGroup group, StepKey key) {
      if (!key.trainer().equals(step(index, 0).trainer())) {
        fail("trainer accepted another trainer's group " + key);
      }
      if (!acceptedGroups.computeIfAbsent(key, k -> new HashSet<>()).add(group.group())) {
        fail("group " + group.group() + " of " + key + " accepted twice");
      }
      if (group.samples().size() != setup.samples()) {
        fail("group has " + group.samples().size() + " samples");
      }
      if (key.equals(target.step()) && group.group() == target.group()) {
        recordPoint(LifePoint.HELD);
      }
      for (int i = 0; i < group.samples().size(); i++) {
        check(group.samples().get(i), new SampleKey(key, group.group(), i));
      }
    }

    private void check(FinishedSample sample, SampleKey key) {
      if (!sample.attempt().sample().equals(key)) {
        fail("sample " + sample.attempt() + " instead of " + key);
      }
      if (sample.tokens().size() != setup.sampleLength().applyAsInt(key)) {
        fail("sample of " + sample.tokens().size() + " tokens was cut short");
      }
      long oldest = Long.MAX_VALUE;
      Set<Integer> versions = new HashSet<>();
      for (VersionSpan span : sample.spans()) {
        for (int i = span.from(); i < span.to(); i++) {
          int producedBy = sample.tokens().get(i) / VERSION_FACTOR;
          versions.add(producedBy);
          oldest = Math.min(oldest, producedBy);
          if (producedBy != span.version().number()) {
            fail("token of version " + producedBy + " attributed to " + span.version());
          }
        }
      }
      usefulTokens += sample.tokens().size();
      staleness.add(Math.max(0, version - oldest));
      if (version - oldest > setup.policy().maxStaleness()) {
        fail("sample of version " + oldest + " delivered to a trainer at " + version);
      }
      if (setup.policy().swapPolicy() == SwapPolicy.RESTART && versions.size() > 1) {
        fail("sample mixes versions despite swap policy restart: " + versions);
      }
    }
  }
}
