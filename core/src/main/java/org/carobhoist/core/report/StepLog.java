package org.carobhoist.core.report;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.carobhoist.core.report.StepLoss.Cause;

/**
 * Collects the log lines of all processes and computes where the time of each step went. A step
 * lasts from the acceptance of its job until its trainer ends the job. Its losses are those of the
 * finished item whose last run ended latest, because the trainer waited for that item.
 *
 * <p>The clocks of the processes are assumed to be synchronized; negative durations are ignored.
 */
public final class StepLog {

  private static final int JOB_ACCEPTED = 7101;
  private static final int JOB_ENDED = 7104;
  private static final int ITEM_PLACED = 7201;
  private static final int RUN_ENDED = 7206;
  private static final int ENGINE_ORDERED = 7301;

  private static final String ACCEPTED = "202";

  /** Minimum number of events in a run for measuring the speed of its engine. */
  private static final int MIN_EVENTS_FOR_SPEED = 8;

  /** Quantile of the time per event, over all runs, that counts as the fastest engine's speed. */
  private static final double FASTEST_QUANTILE = 0.05;

  private final Map<String, JobTrace> jobs = new LinkedHashMap<>();
  private final Map<String, List<Instant>> weightLoads = new HashMap<>();

  /** What the log lines show about a job. */
  private static final class JobTrace {
    private Instant acceptedAt;
    private Instant endedAt;
    private final Map<String, Map<String, RunSpan>> runs = new LinkedHashMap<>();
  }

  private StepLog() {}

  /** Returns an empty collector. */
  public static StepLog create() {
    return new StepLog();
  }

  /** Adds a line, in any order; lines of unrelated events are ignored. */
  public void add(LogLine line) {
    String job = line.text("job");
    switch (line.event()) {
      case JOB_ACCEPTED -> {
        if (line.text("status").equals(ACCEPTED)) {
          JobTrace trace = trace(job);
          trace.acceptedAt = earlier(trace.acceptedAt, submittedAt(line));
        }
      }
      case JOB_ENDED -> trace(job).endedAt = earlier(trace(job).endedAt, line.at());
      case ITEM_PLACED -> runs(line).merge(line.text("run"), startedRun(line), StepLog::merged);
      case RUN_ENDED -> runs(line).merge(line.text("run"), endedRun(line), StepLog::merged);
      case ENGINE_ORDERED ->
          weightLoads.computeIfAbsent(line.text("engine"), k -> new ArrayList<>()).add(line.at());
      default -> {}
    }
  }

  /** Returns the losses of all accepted steps that ended and have at least one finished item. */
  public List<StepLoss> losses() {
    double nanosPerEvent = fastestNanosPerEvent();
    List<StepLoss> out = new ArrayList<>();
    jobs.forEach((job, trace) -> stepLoss(job, trace, nanosPerEvent).ifPresent(out::add));
    return out;
  }

  /** Returns the number of steps whose acceptance was logged. */
  public int acceptedCount() {
    return (int) jobs.values().stream().filter(t -> t.acceptedAt != null).count();
  }

  private Optional<StepLoss> stepLoss(String job, JobTrace trace, double nanosPerEvent) {
    if (trace.acceptedAt == null || trace.endedAt == null) {
      return Optional.empty();
    }
    List<List<RunSpan>> finished =
        trace.runs.values().stream()
            .map(runs -> sortedByStart(runs.values()))
            .filter(runs -> isFinished(runs, trace.endedAt))
            .toList();
    Optional<List<RunSpan>> last = finished.stream().max(Comparator.comparing(StepLog::lastEnd));
    if (last.isEmpty()) {
      return Optional.empty();
    }
    int maxEvents = finished.stream().mapToInt(StepLog::lastEvents).max().orElse(0);
    Duration duration = Duration.between(trace.acceptedAt, trace.endedAt);
    return Optional.of(
        new StepLoss(
            job,
            finished.size(),
            Duration.ofNanos((long) (maxEvents * nanosPerEvent)),
            duration,
            lossesByCause(last.get(), trace, nanosPerEvent)));
  }

  private Map<Cause, Duration> lossesByCause(
      List<RunSpan> runs, JobTrace trace, double nanosPerEvent) {
    Map<Cause, Duration> out = new EnumMap<>(Cause.class);
    addLoss(out, Cause.WAITING, Duration.between(trace.acceptedAt, runs.get(0).placedAt()));
    addLoss(out, Cause.READING, Duration.between(lastEnd(runs), trace.endedAt));
    RunSpan previous = null;
    for (RunSpan run : runs) {
      Duration minDuration = Duration.ofNanos((long) (run.newEvents() * nanosPerEvent));
      addLoss(
          out,
          hasWeightLoadDuring(run) ? Cause.LOADING : Cause.SLOW,
          run.duration().minus(minDuration));
      if (previous != null) {
        addLoss(out, Cause.RESUMED, Duration.between(previous.endedAt(), run.placedAt()));
        int regeneratedEvents = Math.max(0, previous.eventsAtEnd() - run.eventsAtStart());
        addLoss(out, Cause.RESUMED, Duration.ofNanos((long) (regeneratedEvents * nanosPerEvent)));
      }
      previous = run;
    }
    return out;
  }

  private boolean hasWeightLoadDuring(RunSpan run) {
    return weightLoads.getOrDefault(run.engine(), List.of()).stream()
        .anyMatch(at -> at.isAfter(run.placedAt()) && at.isBefore(run.endedAt()));
  }

  /** Returns the time per event on the fastest engines, in nanoseconds; 0 if it is unknown. */
  private double fastestNanosPerEvent() {
    List<Double> samples =
        jobs.values().stream()
            .flatMap(t -> t.runs.values().stream())
            .flatMap(r -> r.values().stream())
            .filter(r -> r.newEvents() >= MIN_EVENTS_FOR_SPEED)
            .map(r -> (double) r.duration().toNanos() / r.newEvents())
            .sorted()
            .toList();
    return samples.isEmpty() ? 0 : samples.get((int) (samples.size() * FASTEST_QUANTILE));
  }

  private JobTrace trace(String job) {
    return jobs.computeIfAbsent(job, k -> new JobTrace());
  }

  private Map<String, RunSpan> runs(LogLine line) {
    return trace(line.text("job"))
        .runs
        .computeIfAbsent(line.text("item"), k -> new LinkedHashMap<>());
  }

  /** Returns the submission time: the line is written {@code ms} later, when the store answers. */
  private static Instant submittedAt(LogLine line) {
    return line.at().minusMillis(line.number("ms"));
  }

  private static RunSpan startedRun(LogLine line) {
    return RunSpan.started(line.text("engine"), line.at(), line.number("done"));
  }

  private static RunSpan endedRun(LogLine line) {
    boolean finished = line.text("outcome").equals("FINISHED");
    return RunSpan.started(line.text("engine"), line.at(), line.number("events"))
        .withEnd(line.at(), line.number("events"), finished);
  }

  /** Merges the start and end lines of a run, in either order. */
  private static RunSpan merged(RunSpan a, RunSpan b) {
    RunSpan first = a.placedAt().isAfter(b.placedAt()) ? b : a;
    RunSpan second = first == a ? b : a;
    return first.withEnd(second.endedAt(), second.eventsAtEnd(), a.finished() || b.finished());
  }

  private static List<RunSpan> sortedByStart(Collection<RunSpan> runs) {
    return runs.stream().sorted(Comparator.comparing(RunSpan::placedAt)).toList();
  }

  private static boolean isFinished(List<RunSpan> runs, Instant end) {
    return runs.stream().anyMatch(r -> r.finished() && !r.endedAt().isAfter(end));
  }

  private static Instant lastEnd(List<RunSpan> runs) {
    return runs.get(runs.size() - 1).endedAt();
  }

  private static int lastEvents(List<RunSpan> runs) {
    return runs.get(runs.size() - 1).eventsAtEnd();
  }

  private static Instant earlier(Instant a, Instant b) {
    return Stream.ofNullable(a).filter(x -> x.isBefore(b)).findFirst().orElse(b);
  }

  private static void addLoss(Map<Cause, Duration> out, Cause cause, Duration loss) {
    if (!loss.isNegative()) {
      out.merge(cause, loss, Duration::plus);
    }
  }
}
