package org.carobhoist.it;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.carobhoist.standin.EngineStandIn;
import org.carobhoist.standin.PlainServiceStandIn;
import org.carobhoist.trainer.StepRequestMessage;
import org.carobhoist.trainer.StepSession;
import org.carobhoist.trainer.TrainerClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * Benchmark of the resident memory, CPU time and TCP traffic of a process of each role, idle and
 * under load. It prints its results and asserts nothing, and its name excludes it from the default
 * test run. See docs/MEASUREMENTS-PROCESS.md for the command.
 */
final class ProcessFootprint {

  private static final Duration IDLE_TIME = Duration.ofSeconds(30);
  private static final Duration LOAD_TIME = Duration.ofSeconds(20);
  private static final Duration SETTLE_TIME = Duration.ofSeconds(5);
  private static final Duration POLL_WAIT = Duration.ofSeconds(5);
  private static final int CLIENTS = 16;
  static final int TICKS_PER_SECOND = 100;
  private static final Pattern RSS_PATTERN = Pattern.compile("VmRSS:\\s+(\\d+) kB");
  private static final Pattern THREADS_PATTERN = Pattern.compile("Threads:\\s+(\\d+)");
  private static final Pattern BYTES_PATTERN = Pattern.compile("bytes_(?:sent|received):(\\d+)");

  /** Indexes in /proc/PID/stat, counted from the field after the command name. */
  private static final int UTIME_FIELD = 11;

  private static final int STIME_FIELD = 12;

  /** Indexes of the socket addresses in a line of {@code ss}. */
  private static final int LOCAL_FIELD = 3;

  private static final int PEER_FIELD = 4;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  /** Readings of a process: ticks of CPU time since its start, and bytes by open socket. */
  record Reading(long rssKilobytes, int threads, long ticks, Map<String, Long> socketBytes) {}

  @Test
  void measure() throws Exception {
    PlainServiceStandIn plain = new PlainServiceStandIn();
    EngineStandIn engine = new EngineStandIn();
    plain.start();
    engine.start();
    try (TestCluster cluster = TestCluster.start(folder)) {
      cluster.publish("horno", "[profile]\nservice = horno-lm\nkind = engine\n");
      cluster.startEntry("entry-1", "centro-a");
      cluster.startSidecar("plain-1", "centro-a", "reservas", "plain", plain.uri());
      cluster.startSidecar("engine-1", "centro-a", "horno-lm", "engine", engine.uri());
      cluster.awaitReady();
      cluster.awaitLinks("entry-1", 2);
      Thread.sleep(SETTLE_TIME.toMillis());
      measurePhase("idle, fresh", cluster, IDLE_TIME, () -> 0);
      measurePhase("load", cluster, LOAD_TIME, () -> load(cluster.http("entry-1")));
      Thread.sleep(SETTLE_TIME.toMillis());
      measurePhase("idle, after load", cluster, IDLE_TIME, () -> 0);
    } finally {
      plain.stop();
      engine.stop();
    }
  }

  private interface Work {
    int run();
  }

  private static void measurePhase(String name, TestCluster cluster, Duration time, Work work)
      throws Exception {
    Map<String, Reading> before = readAll(cluster);
    long start = System.nanoTime();
    int done = work.run();
    long remainingNanos = time.toNanos() - (System.nanoTime() - start);
    Thread.sleep(Math.max(0, remainingNanos / 1_000_000));
    double seconds = (System.nanoTime() - start) / 1e9;
    System.out.printf("FOOTPRINT %s: %.1f s, %d requests%n", name, seconds, done);
    readAll(cluster).forEach((p, now) -> print(p, before.get(p), now, seconds));
  }

  private static void print(String process, Reading before, Reading now, double seconds) {
    System.out.printf(
        "FOOTPRINT   %s: rss %.1f MB, %d threads, cpu %.2f%% of a core, tcp %.2f KB/s%n",
        process,
        now.rssKilobytes() / 1024.0,
        now.threads(),
        100.0 * (now.ticks() - before.ticks()) / TICKS_PER_SECOND / seconds,
        tcpBytes(before, now) / 1024.0 / seconds);
  }

  private static Map<String, Reading> readAll(TestCluster cluster) throws IOException {
    Map<String, Reading> all = new LinkedHashMap<>();
    for (String name : List.of("entry-1", "plain-1", "engine-1")) {
      all.put(name, read(cluster.process(name).pid()));
    }
    return all;
  }

  static Reading read(long pid) throws IOException {
    String status = Files.readString(Path.of("/proc/" + pid + "/status"));
    String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    long ticks = Long.parseLong(fields[UTIME_FIELD]) + Long.parseLong(fields[STIME_FIELD]);
    return new Reading(
        first(RSS_PATTERN, status),
        (int) first(THREADS_PATTERN, status),
        ticks,
        socketBytes("pid=" + pid + ","));
  }

  private static long first(Pattern pattern, String text) {
    Matcher m = pattern.matcher(text);
    return m.find() ? Long.parseLong(m.group(1)) : -1;
  }

  /** Returns the bytes sent and received by each open socket of a process, read from {@code ss}. */
  private static Map<String, Long> socketBytes(String owner) throws IOException {
    Process ss = new ProcessBuilder("ss", "-tinpOH").start();
    String out = new String(ss.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return out.lines()
        .filter(l -> l.contains(owner))
        .collect(Collectors.toMap(ProcessFootprint::addresses, ProcessFootprint::bytes));
  }

  private static String addresses(String line) {
    String[] fields = line.split("\\s+");
    return fields[LOCAL_FIELD] + " " + fields[PEER_FIELD];
  }

  /** Returns the traffic between two readings of the sockets that are open at the second one. */
  static long tcpBytes(Reading before, Reading now) {
    return now.socketBytes().entrySet().stream()
        .mapToLong(s -> s.getValue() - before.socketBytes().getOrDefault(s.getKey(), 0L))
        .sum();
  }

  private static long bytes(String line) {
    Matcher m = BYTES_PATTERN.matcher(line);
    long sum = 0;
    while (m.find()) {
      sum += Long.parseLong(m.group(1));
    }
    return sum;
  }

  /** Runs client threads and one trainer; returns the number of successful client requests. */
  private static int load(URI entry) {
    long end = System.nanoTime() + LOAD_TIME.toNanos();
    AtomicInteger responses = new AtomicInteger();
    ExecutorService threads = Executors.newCachedThreadPool();
    WebClient client = WebClient.of(entry);
    for (int i = 0; i < CLIENTS; i++) {
      threads.execute(() -> call(client, end, responses));
    }
    threads.execute(() -> train(entry, end));
    threads.shutdown();
    try {
      threads.awaitTermination(LOAD_TIME.plus(SETTLE_TIME).toSeconds(), TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return responses.get();
  }

  private static void call(WebClient client, long end, AtomicInteger responses) {
    while (System.nanoTime() < end) {
      AggregatedHttpResponse response =
          client.post("/v1/services/reservas/bookings", "bench 7").aggregate().join();
      if (response.status().isSuccess()) {
        responses.incrementAndGet();
      }
    }
  }

  private static void train(URI entry, long end) {
    TrainerClient client = TrainerClient.create(List.of(entry));
    for (int step = 1; System.nanoTime() < end; step++) {
      List<StepRequestMessage.Group> groups =
          IntStream.range(0, 16).mapToObj(g -> new StepRequestMessage.Group(g, "p" + g)).toList();
      StepSession session =
          StepSession.start(
              new StepRequestMessage(
                  "horno", "trainer-1", Integer.toString(step), 1, 4, 200, "", groups, 0));
      while (!session.isComplete() && System.nanoTime() < end) {
        client.poll(session, POLL_WAIT).join();
      }
    }
  }
}
