package org.carobhoist.server.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.job.JobHead;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.membership.EndpointPhase;
import org.carobhoist.core.membership.RegisteredServers;
import org.carobhoist.core.placement.RunOrder;
import org.carobhoist.core.placement.RunOutcome;
import org.carobhoist.core.placement.RunReport;
import org.carobhoist.core.placement.TextDelta;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Executes runs on behalf of the coordinator. It follows the coordinator with the highest term that
 * it has seen, continues its runs while there is none, and publishes the results of its runs
 * itself.
 */
final class RunnerDesk implements ItemRun.Listener {

  /** Interval between two progress reports of a run. */
  private static final Duration REPORT_PERIOD = Duration.ofMillis(150);

  private final DecisionLoop loop;
  private final Clock clock;
  private final Upstreams upstreams;
  private final RegisteredServers servers;
  private final FinishedTexts finished;
  private final Map<Long, ItemRun> runs = new HashMap<>();
  private final Map<Long, ItemRun> unlisted = new HashMap<>();
  private final Map<JobId, Long> noticed = new HashMap<>();
  private Optional<CoordinatorLink> coordinator = Optional.empty();
  private long term = -1;
  private boolean leaving;
  private boolean reporting;

  /** Sends messages to the coordinator. */
  interface CoordinatorLink {

    /** Sends the reports of all runs, and whether this runner is shutting down. */
    void state(long term, List<RunReport> runs, boolean leaving);

    /** Sends the progress or the end of a run. */
    void report(long term, RunReport report);

    /** Sends a job that can't be stored yet. */
    void notice(JobHead head, byte[] submitted);
  }

  RunnerDesk(
      DecisionLoop loop,
      Clock clock,
      Upstreams upstreams,
      RegisteredServers servers,
      FinishedTexts finished) {
    this.loop = loop;
    this.clock = clock;
    this.upstreams = upstreams;
    this.servers = servers;
    this.finished = finished;
  }

  /** Returns the number of runs. */
  int size() {
    return runs.size();
  }

  /** Returns whether there are active runs or completed texts that aren't published yet. */
  boolean isBusy() {
    return !runs.isEmpty() || !unlisted.isEmpty();
  }

  /** Called when a coordinator attaches to this runner; one with a lower term is ignored. */
  void onAttach(long ofTerm, CoordinatorLink link) {
    if (ofTerm < term) {
      EventLog.info(LogEvent.OLD_TERM_IGNORED, "term", ofTerm, "known", term);
      return;
    }
    term = ofTerm;
    coordinator = Optional.of(link);
    sendState(link);
  }

  /** Starts a run; an order of another term than the current one is ignored. */
  void onStart(long ofTerm, RunOrder order) {
    if (ofTerm != term) {
      EventLog.info(LogEvent.OLD_TERM_IGNORED, "term", ofTerm, "known", term);
      return;
    }
    ItemRun run = new ItemRun(order, clock.elapsed(), this);
    runs.put(order.run(), run);
    if (isLeaving(order.engine())) {
      run.skip();
      return;
    }
    run.start(upstreams);
    if (!reporting) {
      reporting = true;
      loop.after(REPORT_PERIOD, this::reportProgress);
    }
  }

  private boolean isLeaving(InstanceId engine) {
    return servers
        .entry(engine)
        .filter(e -> e.announcement().phase() != EndpointPhase.SERVING)
        .isPresent();
  }

  /** Cancels a run; an order of another term than the current one is ignored. */
  void onCancel(long ofTerm, long number) {
    ItemRun run = runs.get(number);
    if (ofTerm == term && run != null) {
      run.cancel();
    }
  }

  /** Sends a job that can't be stored yet to the coordinator for an early start, once per term. */
  void runEarly(JobHead head, byte[] submitted) {
    if (coordinator.isPresent() && !Long.valueOf(term).equals(noticed.put(head.id(), term))) {
      coordinator.get().notice(head, submitted);
    }
  }

  /** Cancels all runs of a job that has ended. */
  void onJobEnded(JobId job) {
    noticed.remove(job);
    List.copyOf(runs.values()).stream()
        .filter(r -> r.order().job().equals(job))
        .forEach(ItemRun::cancel);
  }

  /** Reports to the coordinator that this runner accepts no more runs. */
  void leave() {
    leaving = true;
    coordinator.ifPresent(this::sendState);
  }

  /** Cancels all runs and reports their texts so far to the coordinator. */
  void stop() {
    List.copyOf(runs.values()).forEach(ItemRun::cancel);
  }

  private void sendState(CoordinatorLink link) {
    List<RunReport> all = new ArrayList<>();
    for (ItemRun run : runs.values()) {
      all.add(report(run, run.text().whole()));
      run.onReported();
    }
    unlisted.values().forEach(run -> all.add(report(run, run.text().whole())));
    link.state(term, all, leaving);
  }

  /** Reports new events of all runs; reschedules itself while there are runs. */
  private void reportProgress() {
    reporting = !runs.isEmpty();
    if (reporting) {
      loop.after(REPORT_PERIOD, this::reportProgress);
    }
    for (ItemRun run : runs.values()) {
      if (run.text().events() > run.reported().events()) {
        report(run);
      }
    }
  }

  @Override
  public void onEngineLeaves(ItemRun run) {
    servers.onSaidLeaving(run.order().engine());
    report(run);
  }

  @Override
  public void onEnded(ItemRun run) {
    runs.remove(run.order().run());
    if (run.outcome() == RunOutcome.FINISHED) {
      finish(run);
    }
    EventLog.info(
        LogEvent.RUN_ENDED,
        "job",
        run.order().job(),
        "item",
        run.order().item().id(),
        "run",
        run.order().run(),
        "engine",
        run.order().engine(),
        "outcome",
        run.outcome(),
        "events",
        run.text().events(),
        "why",
        run.detail());
    report(run);
  }

  private void finish(ItemRun run) {
    RunOrder order = run.order();
    unlisted.put(order.run(), run);
    Duration left = run.timeLeft(clock.elapsed());
    finished.finish(
        order.job(), order.item(), run.text(), left, () -> unlisted.remove(order.run()));
  }

  private void report(ItemRun run) {
    TextDelta delta = run.text().since(run.reported());
    run.onReported();
    coordinator.ifPresent(c -> c.report(term, report(run, delta)));
  }

  private static RunReport report(ItemRun run, TextDelta delta) {
    RunOrder order = run.order();
    return new RunReport(
        order.run(),
        order.job(),
        order.item().id(),
        order.engine(),
        delta,
        run.outcome(),
        run.version(),
        run.engineLeaves());
  }
}
