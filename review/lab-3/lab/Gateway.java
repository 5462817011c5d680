package lab;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A machine of the system: one process with the command line of the deploy file. */
final class Gateway {

  private static final Set<Integer> TAKEN = new HashSet<>();

  final String node;
  final int front;
  final int control;
  final int peers;
  private final Path boot;
  final Path log;
  private Process process;

  private Gateway(String node, int front, int control, int peers, Path folder) {
    this.node = node;
    this.front = front;
    this.control = control;
    this.peers = peers;
    this.boot = folder.resolve(node + ".conf");
    this.log = folder.resolve(node + ".log");
  }

  /** Creates a machine that hasn't started; {@code more} are further lines of its settings. */
  static Gateway create(Path folder, String node, String zone, String store, String more)
      throws IOException {
    int front = port();
    int control = port();
    int peers = pair();
    Gateway g = new Gateway(node, front, control, peers, folder);
    List<String> lines = new ArrayList<>(List.of(
        "node=" + node, "role=entry", "machine_class=front", "serves=front", "ip=127.0.0.1",
        "zone=" + zone, "region=r", "zones.a=r", "zones.b=r",
        "listen.front=127.0.0.1:" + front, "listen.ready=127.0.0.1:" + control,
        "internal_ports=" + peers + "," + (peers + 1), "seeds=", "first_start=true",
        "limits.cpu_share=0.75", "limits.cores=2", "limits.memory_mb=450", "limits.max_fds=8200",
        "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip",
        "heartbeat_ms=1200",
        "contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform",
        "tolerate.machines=1", "bounds.seed_lag_s=3", "bounds.reuse_after_s=2",
        "bounds.stable_window_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000",
        "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
        "bounds.skew_max_ms=5000", "bounds.recovery_s=12", "bounds.finish_s=10",
        "bounds.status_ttl_s=120", "bounds.cancel_ms=3000", "bounds.settle_ms=1000",
        "bounds.lease_ms=3000", "bounds.thaw_ms=300", "platform.address=" + store,
        "platform.form=log", "platform.writes_per_s=800", "platform.reads_per_s=2000",
        "platform.parts=16", "platform.append_ms=3.0", "platform.record_bytes=262144",
        "platform.call_bytes=2097152", "platform.retention_s=300", "platform.part_mb=200",
        "platform.ttl_min_ms=1000"));
    lines.add(more);
    Files.writeString(g.boot, String.join("\n", lines) + "\n");
    return g;
  }

  void start() throws IOException {
    List<String> command = command();
    ProcessBuilder b = new ProcessBuilder(command);
    b.environment().keySet().removeIf(k -> !Set.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(k));
    b.environment().put("CAROBHOIST_BOOT", boot.toString());
    b.redirectErrorStream(true);
    b.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = b.start();
  }

  private static List<String> command() throws IOException {
    Matcher m = Pattern.compile("(?m)^run = \"(.*)\"$")
        .matcher(Files.readString(Path.of("deploy", "system.toml")));
    if (!m.find()) {
      throw new IOException("no command in the deploy file");
    }
    return List.of(m.group(1).split(" "));
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  boolean isReady() {
    return Wire.call(control, "GET", "/-/ready", "x", "", new byte[0], 500).status() == 200;
  }

  /** Sends SIGKILL and waits for the end. */
  void kill() {
    process.destroyForcibly();
    awaitEnd();
  }

  /** Kills the process if it runs. */
  void end() {
    if (isAlive()) {
      kill();
    }
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  void awaitEnd() {
    try {
      process.waitFor(20, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void signal(String name) throws IOException {
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the newest term that this machine's log says it holds the lease for; -1 if none. */
  long newestTerm() {
    try {
      long term = -1;
      for (String line : Files.readAllLines(log)) {
        if (line.contains("event=7401")) {
          Matcher m = Pattern.compile(" term=(\\d+)").matcher(line);
          term = m.find() ? Long.parseLong(m.group(1)) : term;
        }
      }
      return term;
    } catch (IOException e) {
      return -1;
    }
  }

  static Gateway leader(List<Gateway> all) {
    Gateway found = all.get(0);
    for (Gateway g : all) {
      found = g.newestTerm() > found.newestTerm() ? g : found;
    }
    return found;
  }

  private static synchronized int port() throws IOException {
    while (true) {
      try (ServerSocket s = new ServerSocket(0)) {
        if (TAKEN.add(s.getLocalPort())) {
          return s.getLocalPort();
        }
      }
    }
  }

  private static synchronized int pair() throws IOException {
    while (true) {
      int first = port();
      try (ServerSocket s = new ServerSocket(first + 1)) {
        if (TAKEN.add(first + 1)) {
          return first;
        }
      } catch (IOException e) {
        continue;
      }
    }
  }
}
