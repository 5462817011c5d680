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

  private static final double NANOS = 1e9;
  private static final double ROUNDING_SECONDS = 1e-9;

  private final InstanceId id;
  private final Zone zone;
  private final int workers;
  private final Clock clock;
  private final EventQueue events;
  private final AdmissionQueue queue;
  private final PrefixCache cache;
  private final PriorityQueue<Job> jobs =
      new PriorityQueue<>(Comparator.comparingDouble(Job::end).thenComparing(Job::id));
  private double served;
  private Duration servedAt = Duration.ZERO;
  private double slowness = 1;
  private boolean dead;
  private long version;
  private long handled;

  private record Job(long id, double end, Runnable onDone) {}

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

  long handled() {
    return handled;
  }

  boolean isDead() {
    return dead;
  }

  void kill() {
    dead = true;
  }

  void setSlowness(double factor) {
    advance();
    slowness = factor;
    reschedule();
  }

  /** Adds the prefix to the cache; returns whether it was cached before. */
  boolean touch(Optional<Long> prefix) {
    return prefix.isPresent() && cache.put(prefix.get(), true) != null;
  }

  /** Starts a request that would take the given time on a worker of its own. */
  void run(long job, double workSeconds, Runnable onDone) {
    advance();
    handled++;
    jobs.add(new Job(job, served + workSeconds, onDone));
    reschedule();
  }

  /** Aborts a request. */
  void abort(long job) {
    advance();
    jobs.removeIf(j -> j.id() == job);
    reschedule();
  }

  private double rate() {
    return Math.min(1, (double) workers / Math.max(1, jobs.size())) / slowness;
  }

  private void advance() {
    double passed = clock.elapsed().minus(servedAt).toNanos() / NANOS;
    served += passed * rate();
    servedAt = clock.elapsed();
  }

  private void reschedule() {
    long mine = ++version;
    if (jobs.isEmpty()) {
      return;
    }
    double left = Math.max(0, jobs.peek().end() - served) / rate();
    events.after(Duration.ofNanos((long) Math.ceil(left * NANOS)), () -> onTimer(mine));
  }

  private void onTimer(long mine) {
    if (mine != version) {
      return;
    }
    advance();
    while (!jobs.isEmpty() && jobs.peek().end() <= served + ROUNDING_SECONDS) {
      jobs.poll().onDone().run();
    }
    reschedule();
  }
}
