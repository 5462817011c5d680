package org.carobhoist.server.gateway.job;

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
import org.carobhoist.server.gateway.upstream.UpstreamClients;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.log.LogEvent;
import org.carobhoist.server.runtime.DecisionLoop;

/**
 * Executes runs on behalf of the coordinator. It follows the coordinator with the highest term that
 * it has seen, continues its runs while there is none, and publishes the results of its runs
 * itself.
 */
public final class ItemRunner implements ItemRun.Listener {

  /** Interval between two progress reports of a run. */
  private static final Duration REPORT_PERIOD = Duration.ofMillis(150);

  private final DecisionLoop loop;
  private final Clock clock;
  private final UpstreamClients upstreams;
  private final RegisteredServers servers;
  private final CompletedTextPublisher completedTexts;
  private final Map<Long, ItemRun> runs = new HashMap<>();
  private final Map<Long, ItemRun> unpublished = new HashMap<>();
  private final Map<JobId, Long> lastNoticeTerms = new HashMap<>();
  private Optional<CoordinatorLink> coordinator = Optional.empty();
  private long term = -1;
  private boolean leaving;
  private boolean reportScheduled;

  /** Sends messages to the coordinator. */
  public interface CoordinatorLink {

    /** Sends the reports of all runs, and whether this runner is shutting down. */
    void sendState(long term, List<RunReport> runs, boolean leaving);

    /** Sends the progress or the end of a run. */
    void sendReport(long term, RunReport report);

    /** Sends a job that can't be stored yet. */
    void sendJobNotice(JobHead head, byte[] submitted);
  }

  /** Creates a runner without runs. */
  public ItemRunner(
      DecisionLoop loop,
      Clock clock,
      UpstreamClients upstreams,
      RegisteredServers servers,
      CompletedTextPublisher completedTexts) {
    this.loop = loop;
    this.clock = clock;
    this.upstreams = upstreams;
    this.servers = servers;
    this.completedTexts = completedTexts;
  }

  /** Returns the number of runs. */
  public int runCount() {
    return runs.size();
  }

  /** Returns whether there are active runs or completed texts that aren't published yet. */
  public boolean isBusy() {
    return !runs.isEmpty() || !unpublished.isEmpty();
  }

  /** Called when a coordinator attaches to this runner; one with a lower term is ignored. */
  public void onAttach(long messageTerm, CoordinatorLink link) {
    if (messageTerm < term) {
      EventLog.info(LogEvent.OLD_TERM_IGNORED, "term", messageTerm, "known", term);
      return;
    }
    term = messageTerm;
    coordinator = Optional.of(link);
    sendState(link);
  }

  /** Starts a run; an order of another term than the current one is ignored. */
  public void onStart(long messageTerm, RunOrder order) {
    if (messageTerm != term) {
      EventLog.info(LogEvent.OLD_TERM_IGNORED, "term", messageTerm, "known", term);
      return;
    }
    ItemRun run = new ItemRun(order, clock.elapsed(), this);
    runs.put(order.run(), run);
    if (isEngineLeaving(order.engine())) {
      run.skip();
      return;
    }
    run.start(upstreams);
    if (!reportScheduled) {
      reportScheduled = true;
      loop.after(REPORT_PERIOD, this::reportProgress);
    }
  }

  private boolean isEngineLeaving(InstanceId engine) {
    return servers
        .entry(engine)
        .filter(e -> e.announcement().phase() != EndpointPhase.SERVING)
        .isPresent();
  }

  /** Cancels a run; an order of another term than the current one is ignored. */
  public void onCancel(long messageTerm, long number) {
    ItemRun run = runs.get(number);
    if (messageTerm == term && run != null) {
      run.cancel();
    }
  }

  /** Sends a job that can't be stored yet to the coordinator for an early start, once per term. */
  public void runEarly(JobHead head, byte[] submitted) {
    if (coordinator.isPresent()
        && !Long.valueOf(term).equals(lastNoticeTerms.put(head.id(), term))) {
      coordinator.get().sendJobNotice(head, submitted);
    }
  }

  /** Cancels all runs of a job that has ended. */
  public void onJobEnded(JobId job) {
    lastNoticeTerms.remove(job);
    List.copyOf(runs.values()).stream()
        .filter(r -> r.order().job().equals(job))
        .forEach(ItemRun::cancel);
  }

  /** Reports to the coordinator that this runner accepts no more runs. */
  public void stopAcceptingRuns() {
    leaving = true;
    coordinator.ifPresent(this::sendState);
  }

  /** Cancels all runs and reports their texts so far to the coordinator. */
  public void stop() {
    List.copyOf(runs.values()).forEach(ItemRun::cancel);
  }

  private void sendState(CoordinatorLink link) {
    List<RunReport> all = new ArrayList<>();
    for (ItemRun run : runs.values()) {
      all.add(report(run, run.text().toDelta()));
      run.onReported();
    }
    unpublished.values().forEach(run -> all.add(report(run, run.text().toDelta())));
    link.sendState(term, all, leaving);
  }

  /** Reports new events of all runs; reschedules itself while there are runs. */
  private void reportProgress() {
    reportScheduled = !runs.isEmpty();
    if (reportScheduled) {
      loop.after(REPORT_PERIOD, this::reportProgress);
    }
    for (ItemRun run : runs.values()) {
      if (run.text().eventCount() > run.reported().eventCount()) {
        report(run);
      }
    }
  }

  @Override
  public void onEngineLeaving(ItemRun run) {
    servers.onLeavingReported(run.order().engine());
    report(run);
  }

  @Override
  public void onEnded(ItemRun run) {
    runs.remove(run.order().run());
    if (run.outcome() == RunOutcome.FINISHED) {
      publishResult(run);
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
        run.text().eventCount(),
        "why",
        run.detail());
    report(run);
  }

  private void publishResult(ItemRun run) {
    RunOrder order = run.order();
    unpublished.put(order.run(), run);
    Duration left = run.timeLeft(clock.elapsed());
    completedTexts.publish(
        order.job(), order.item(), run.text(), left, () -> unpublished.remove(order.run()));
  }

  private void report(ItemRun run) {
    TextDelta delta = run.text().deltaSince(run.reported());
    run.onReported();
    coordinator.ifPresent(c -> c.sendReport(term, report(run, delta)));
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
        run.isEngineLeaving());
  }
}
