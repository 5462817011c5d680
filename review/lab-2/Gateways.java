import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** The gateways of a case: real processes, started with the command of the deploy file. */
final class Gateways {

  private static final int FIRST_PORT = 20_000;
  private static final int LAST_PORT = 32_000;
  private static int nextPort = FIRST_PORT + new Random().nextInt(6_000);

  private static final Path REPOSITORY = Path.of("").toAbsolutePath();
  private final Map<String, Gateway> all = new LinkedHashMap<>();
  private final Path folder;

  /** One gateway. */
  static final class Gateway {
    final String node;
    final int front;
    final int ready;
    private final Path boot;
    private final Path log;
    private volatile Process process;

    private Gateway(String node, int front, int ready, Path boot, Path log) {
      this.node = node;
      this.front = front;
      this.ready = ready;
      this.boot = boot;
      this.log = log;
    }
  }

  Gateways(Path folder) {
    this.folder = folder;
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  Gateway get(String node) {
    return all.get(node);
  }

  /** Creates a gateway that isn't started, with the settings of a small deployment. */
  Gateway add(String node, String zone, int storePort, String... more) throws IOException {
    int[] ports = freePorts();
    List<String> lines =
        new ArrayList<>(
            List.of(
                "node=" + node,
                "role=entry",
                "machine_class=front",
                "serves=front",
                "ip=127.0.0.1",
                "zone=" + zone,
                "region=r",
                "zones.a=r",
                "zones.b=r",
                "listen.front=127.0.0.1:" + ports[0],
                "listen.ready=127.0.0.1:" + ports[1],
                "internal_ports=" + ports[2] + "," + (ports[2] + 1),
                "first_start=true",
                "limits.cpu_share=0.75",
                "limits.cores=2",
                "limits.memory_mb=450",
                "limits.max_fds=8200",
                "limits.link_mbps=1000.0",
                "discovery=platform",
                "entry=vip",
                "heartbeat_ms=1200",
                "bounds.stable_window_ms=3000",
                "bounds.ack_ms=4000",
                "bounds.drain_ms=2000",
                "bounds.grace_s=8",
                "bounds.loss_slack_ms=200",
                "bounds.config_apply_ms=2000",
                "bounds.status_ttl_s=120",
                "bounds.cancel_ms=3000",
                "bounds.settle_ms=1000",
                "bounds.lease_ms=3000",
                "bounds.thaw_ms=300",
                "platform.address=127.0.0.1:" + storePort,
                "platform.form=log"));
    lines.addAll(Arrays.asList(more));
    Path boot = Files.write(folder.resolve(node + ".conf"), lines);
    Gateway g = new Gateway(node, ports[0], ports[1], boot, folder.resolve(node + ".log"));
    all.put(node, g);
    return g;
  }

  /** Starts a gateway, or starts it again after it ended. */
  void start(Gateway g) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.directory(REPOSITORY.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("CAROBHOIST_BOOT", g.boot.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(g.log.toFile()));
    g.process = builder.start();
    Record.line("start " + g.node + " pid " + g.process.pid());
  }

  /** Returns the command line of the deploy file. */
  private static List<String> command() throws IOException {
    for (String l : Files.readAllLines(REPOSITORY.resolve("deploy/system.toml"))) {
      if (l.startsWith("run = ")) {
        String quoted = l.substring("run = ".length()).strip();
        return Arrays.asList(quoted.substring(1, quoted.length() - 1).split(" "));
      }
    }
    throw new IOException("no command in deploy/system.toml");
  }

  /** Sends a signal: STOP, CONT, TERM, KILL or HUP. */
  void signal(Gateway g, String name) throws IOException {
    Record.line("signal " + name + " to " + g.node);
    Process kill = new ProcessBuilder("kill", "-" + name, "" + g.process.pid()).start();
    try {
      kill.waitFor();
      if (name.equals("KILL")) {
        g.process.waitFor(5, TimeUnit.SECONDS);
      }
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  boolean isAlive(Gateway g) {
    return g.process != null && g.process.isAlive();
  }

  boolean isReady(Gateway g) {
    try {
      return Wire.call(g.ready, "GET", "/-/ready", Map.of("Host", "x"), new byte[0], 1_000).status()
          == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Waits until all gateways are ready. */
  void awaitReady(long millis) {
    long until = Record.millis() + millis;
    for (Gateway g : all.values()) {
      while (!isReady(g)) {
        if (Record.millis() > until) {
          throw new IllegalStateException(g.node + " isn't ready");
        }
        Wire.sleep(50);
      }
    }
    Record.line("all gateways are ready");
  }

  String log(Gateway g) throws IOException {
    return Files.readString(g.log);
  }

  /** Waits until one of the running gateways has written that it took the lease. */
  Gateway coordinator() throws IOException {
    for (int i = 0; i < 400; i++) {
      Gateway found = null;
      long term = -1;
      for (Gateway g : all.values()) {
        for (String l : log(g).lines().filter(x -> x.contains("event=7401")).toList()) {
          long t = Long.parseLong(l.replaceAll(".* term=(\\d+).*", "$1"));
          if (t > term) {
            term = t;
            found = g;
          }
        }
      }
      if (found != null) {
        return found;
      }
      Wire.sleep(50);
    }
    throw new IllegalStateException("no gateway took the lease");
  }

  /** Writes which gateways have ended by themselves. */
  void recordEnded() {
    all.values()
        .forEach(g -> Record.line(g.node + (isAlive(g) ? " runs" : " has ended by itself")));
  }

  void killAll() {
    all.values().stream()
        .filter(g -> g.process != null)
        .forEach(g -> g.process.destroyForcibly());
  }

  /**
   * Returns three free ports, the last of which is followed by another free one. They lie below the
   * ports that the system gives to connections, and none is returned twice.
   */
  private static synchronized int[] freePorts() throws IOException {
    int[] ports = new int[4];
    int found = 0;
    while (found < ports.length) {
      int port = nextPort++;
      if (port >= LAST_PORT) {
        throw new IOException("no free ports");
      }
      boolean free = isFree(port);
      boolean follows = found < 3 || port == ports[2] + 1;
      if (free && follows) {
        ports[found++] = port;
      } else if (found == 3) {
        ports[2] = port;
        found = free ? 3 : 2;
      }
    }
    return new int[] {ports[0], ports[1], ports[2]};
  }

  private static boolean isFree(int port) {
    try (ServerSocket server = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
      return server.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
