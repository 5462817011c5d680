package org.carobhoist.core.reward;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.carobhoist.core.common.EndpointKind;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.RequestId;
import org.carobhoist.core.common.ServiceName;
import org.carobhoist.core.common.WeightVersion;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.job.ItemId;
import org.carobhoist.core.job.JobId;
import org.carobhoist.core.job.RewardRequest;
import org.carobhoist.core.routing.EndpointView;
import org.carobhoist.core.testing.EventQueue;
import org.carobhoist.core.testing.ManualClock;

/**
 * Simulates endpoints that serve interactive lookups and reward calls in the order of arrival, the
 * processes that call them, and a step whose texts are completed in a burst. Each answer reports
 * the endpoint's load to the process that receives it.
 */
final class RewardLoadSimulation {

  private static final ServiceName APP = new ServiceName("app");
  private static final int ENDPOINTS = 4;
  private static final int SLOTS = 6;
  private static final Duration SERVICE_TIME = Duration.ofMillis(43);
  private static final Duration LOOKUP_INTERVAL = Duration.ofMillis(40);
  private static final Duration DURATION = Duration.ofSeconds(4);

  private final ManualClock clock = new ManualClock();
  private final EventQueue queue = new EventQueue(clock);
  private final SplittableRandom random;
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final List<Duration> lookups = new ArrayList<>();
  private final List<Duration> scores = new ArrayList<>();

  private RewardLoadSimulation(long seed) {
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < ENDPOINTS; i++) {
      endpoints.add(new Endpoint(new InstanceId("e" + i)));
    }
  }

  /** Durations of the lookups and of the reward calls, each in ascending order. */
  record Result(List<Duration> lookups, List<Duration> scores) {

    Duration slowestLookup() {
      return lookups.get(lookups.size() - 1);
    }

    Duration slowestScore() {
      return scores.get(scores.size() - 1);
    }
  }

  /**
   * Simulates lookups at a constant rate and a burst of texts that are completed within 100 ms.
   *
   * @param processes number of processes among which the texts are distributed evenly
   * @param texts number of texts
   */
  static Result run(long seed, RewardPolicy policy, int processes, int texts) {
    RewardLoadSimulation simulation = new RewardLoadSimulation(seed);
    simulation.begin(policy, processes, texts);
    simulation.queue.run(DURATION.multipliedBy(10));
    Collections.sort(simulation.lookups);
    Collections.sort(simulation.scores);
    return new Result(List.copyOf(simulation.lookups), List.copyOf(simulation.scores));
  }

  private void begin(RewardPolicy policy, int processes, int texts) {
    for (long ms = 0; ms < DURATION.toMillis(); ms += LOOKUP_INTERVAL.toMillis()) {
      queue.after(Duration.ofMillis(ms), this::lookUp);
    }
    for (int p = 0; p < processes; p++) {
      Process process = new Process();
      process.calls =
          RewardCallScheduler.create(process, policy, clock, queue::schedule, random.split());
      for (int i = p; i < texts; i += processes) {
        String name = "i" + i;
        queue.after(
            Duration.ofMillis(1_000 + random.nextInt(100)), () -> process.onTextCompleted(name));
      }
    }
  }

  /** Sends a lookup to the less loaded of two random endpoints, as the router does. */
  private void lookUp() {
    Endpoint a = endpoints.get(random.nextInt(ENDPOINTS));
    Endpoint b = endpoints.get(random.nextInt(ENDPOINTS));
    Duration startedAt = clock.elapsed();
    Endpoint chosen = a.inFlight() <= b.inFlight() ? a : b;
    chosen.arrive(() -> lookups.add(clock.elapsed().minus(startedAt)));
  }

  /** An endpoint with a number of slots and a queue. */
  private final class Endpoint {

    private final InstanceId id;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private int running;

    private Endpoint(InstanceId id) {
      this.id = id;
    }

    private int inFlight() {
      return running + waiting.size();
    }

    private void arrive(Runnable onAnswered) {
      if (running >= SLOTS) {
        waiting.add(onAnswered);
        return;
      }
      running++;
      queue.after(SERVICE_TIME, () -> end(onAnswered));
    }

    private void end(Runnable onAnswered) {
      running--;
      onAnswered.run();
      if (!waiting.isEmpty()) {
        arrive(waiting.poll());
      }
    }
  }

  /** A process that makes reward calls; it knows only the loads reported in its answers. */
  private final class Process implements RewardPort {

    private final int[] reportedLoads = new int[ENDPOINTS];
    private RewardCallScheduler calls;

    private void onTextCompleted(String item) {
      Duration startedAt = clock.elapsed();
      calls.begin(
          new RewardKey(new JobId("j"), new ItemId(item)),
          new RewardRequest(new RequestId(item), "b.example", "/score", new byte[0]),
          Duration.ofSeconds(30),
          score -> scores.add(clock.elapsed().minus(startedAt)));
    }

    @Override
    public Optional<RewardPort.Destination> destination(RewardRequest request) {
      return Optional.of(new RewardPort.Destination(APP, 3));
    }

    @Override
    public Collection<EndpointView> endpoints(ServiceName service) {
      List<EndpointView> views = new ArrayList<>();
      for (int i = 0; i < ENDPOINTS; i++) {
        views.add(
            new EndpointView(
                endpoints.get(i).id,
                APP,
                EndpointKind.PLAIN,
                new Zone("a"),
                true,
                0,
                reportedLoads[i],
                SLOTS,
                new WeightVersion(0)));
      }
      return views;
    }

    @Override
    public Optional<InstanceId> choose(
        ServiceName service, Collection<EndpointView> among, Set<InstanceId> excluded) {
      return among.isEmpty()
          ? Optional.empty()
          : among.stream().skip(random.nextInt(among.size())).findFirst().map(e -> e.instance());
    }

    @Override
    public void send(
        long number,
        ServiceName service,
        InstanceId endpoint,
        RewardRequest request,
        Duration timeout) {
      int index = Integer.parseInt(endpoint.value().substring(1));
      Endpoint target = endpoints.get(index);
      target.arrive(
          () -> {
            reportedLoads[index] = target.inFlight();
            calls.onAnswer(number, new RewardAnswer.Score("good"));
          });
    }

    @Override
    public void cancel(long number) {}

    @Override
    public void logDecision(Decision decision, RewardKey key, Object... fields) {}
  }
}
