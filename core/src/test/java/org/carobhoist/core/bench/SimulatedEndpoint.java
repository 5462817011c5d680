package org.carobhoist.core.bench;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.carobhoist.core.common.Clock;
import org.carobhoist.core.common.InstanceId;
import org.carobhoist.core.common.Zone;
import org.carobhoist.core.limit.AdmissionQueue;
import org.carobhoist.core.limit.LimitPolicy;
import org.carobhoist.core.testing.EventQueue;

/**
 * An endpoint that shares its workers equally among all running requests (processor sharing), with
 * the admission queue of its sidecar and a prompt prefix cache.
 */
final class SimulatedEndpoint {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double ROUNDING_SECONDS = 1e-9;

  private final InstanceId id;
  private final Zone zone;
  private final int workers;
  private final Clock clock;
  private final EventQueue events;
  private final AdmissionQueue queue;
  private final PrefixCache cache;
  private final PriorityQueue<Job> jobs =
      new PriorityQueue<>(Comparator.comparingDouble(Job::finishAt).thenComparing(Job::id));

  /** Processing time that a request would have received if it had run since the start. */
  private double servedSeconds;

  private Duration lastAdvancedAt = Duration.ZERO;
  private double slowdown = 1;
  private boolean dead;
  private long timerVersion;
  private long handledRequests;

  private record Job(long id, double finishAt, Runnable onDone) {}

  /** A prompt prefix cache that evicts the least recently used prefix. */
  private static final class PrefixCache extends LinkedHashMap<Long, Boolean> {
    private final int capacity;

    private PrefixCache(int capacity) {
      super(16, 0.75f, true);
      this.capacity = capacity;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
      return size() > capacity;
    }
  }

  SimulatedEndpoint(InstanceId id, Zone zone, Settings settings, Clock clock, EventQueue events) {
    this.id = id;
    this.zone = zone;
    this.workers = settings.workers();
    this.clock = clock;
    this.events = events;
    this.queue = AdmissionQueue.create(settings.limits(), clock);
    this.cache = new PrefixCache(settings.cachedPrefixes());
  }

  /**
   * Settings shared by all endpoints.
   *
   * @param workers number of requests that can run at full speed concurrently
   * @param cachedPrefixes capacity of the prompt prefix cache
   * @param limits admission limits
   */
  record Settings(int workers, int cachedPrefixes, LimitPolicy limits) {}

  InstanceId id() {
    return id;
  }

  Zone zone() {
    return zone;
  }

  AdmissionQueue queue() {
    return queue;
  }

  long handledRequests() {
    return handledRequests;
  }

  boolean isDead() {
    return dead;
  }

  void kill() {
    dead = true;
  }

  void setSlowdown(double factor) {
    advance();
    slowdown = factor;
    reschedule();
  }

  /** Adds the prefix to the cache; returns whether it was cached before. */
  boolean addToCache(Optional<Long> prefix) {
    return prefix.isPresent() && cache.put(prefix.get(), true) != null;
  }

  /** Starts a request that would take the given time on a worker of its own. */
  void run(long job, double workSeconds, Runnable onDone) {
    advance();
    handledRequests++;
    jobs.add(new Job(job, servedSeconds + workSeconds, onDone));
    reschedule();
  }

  /** Aborts a request. */
  void abort(long job) {
    advance();
    jobs.removeIf(j -> j.id() == job);
    reschedule();
  }

  private double rate() {
    return Math.min(1, (double) workers / Math.max(1, jobs.size())) / slowdown;
  }

  private void advance() {
    double elapsedSeconds = clock.elapsed().minus(lastAdvancedAt).toNanos() / NANOS_PER_SECOND;
    servedSeconds += elapsedSeconds * rate();
    lastAdvancedAt = clock.elapsed();
  }

  private void reschedule() {
    long scheduledVersion = ++timerVersion;
    if (jobs.isEmpty()) {
      return;
    }
    double remainingSeconds = Math.max(0, jobs.peek().finishAt() - servedSeconds) / rate();
    events.after(
        Duration.ofNanos((long) Math.ceil(remainingSeconds * NANOS_PER_SECOND)),
        () -> onTimer(scheduledVersion));
  }

  private void onTimer(long scheduledVersion) {
    if (scheduledVersion != timerVersion) {
      return;
    }
    advance();
    while (!jobs.isEmpty() && jobs.peek().finishAt() <= servedSeconds + ROUNDING_SECONDS) {
      jobs.poll().onDone().run();
    }
    reschedule();
  }
}
