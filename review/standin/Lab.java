package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback addresses: a store, servers, gateways as processes, a record. */
final class Lab implements AutoCloseable {

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final long startedAt = System.nanoTime();
  final Store store = new Store();
  final List<Gateway> gateways = new ArrayList<>();
  private final PrintWriter record;
  private final Path folder;
  private final String command;

  /** Starts the store; the record goes to a file. */
  Lab(Path recordFile) throws Exception {
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    folder = Files.createTempDirectory("review");
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
        .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no run line");
    }
    command = run.group(1);
    note("trouble " + trouble);
  }

  /** Writes a line to the record. */
  synchronized void note(String text) {
    record.printf("%8.3f %s%n", seconds(), text);
  }

  double seconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  /** Ends the day: exit code 1 if the rule was broken, else 0. */
  int verdict(boolean broken, String why) {
    note((broken ? "BROKEN " : "HELD ") + why);
    System.out.println((broken ? "broken: " : "held: ") + why);
    return broken ? 1 : 0;
  }

  static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    }
  }

  /** Two free ports that follow one another. */
  private static int freePair() throws IOException {
    while (true) {
      int port = freePort();
      try (ServerSocket a = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
          ServerSocket b = new ServerSocket(port + 1, 1, InetAddress.getLoopbackAddress())) {
        return port;
      } catch (IOException e) {
        // Taken meanwhile; the next pair is tried.
      }
    }
  }

  /** A gateway as a process, started with the command of the deploy file. */
  final class Gateway {
    final String name;
    final int front = freePort();
    final int ready = freePort();
    private final int internal = freePair();
    private final Path boot;
    Process process;
    int ends;
    private boolean wanted;

    private Gateway(String name) throws Exception {
      this.name = name;
      boot = folder.resolve(name + ".conf");
      Files.writeString(boot, String.join("\n",
          "node=" + name, "role=entry", "machine_class=front", "serves=front", "ip=127.0.0.1",
          "zone=zone-a", "region=region-a", "zones.zone-a=region-a",
          "listen.front=127.0.0.1:" + front, "listen.ready=127.0.0.1:" + ready,
          "internal_ports=" + internal + "," + (internal + 1), "first_start=true",
          "in_tolerance=false", "limits.cpu_share=0.75", "limits.cores=2",
          "limits.memory_mb=450", "limits.max_fds=8200", "limits.link_mbps=1000.0",
          "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
          "contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform",
          "tolerate.machines=1", "tolerate.zones=0", "tolerate.regions=0",
          "bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.stable_window_ms=3000",
          "bounds.ack_ms=4000", "bounds.catch_up_s=4.5", "bounds.drain_ms=2000",
          "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
          "bounds.rollback_slack_ms=250", "bounds.skew_max_ms=5000", "bounds.recovery_s=12",
          "bounds.pass_ms=120", "bounds.retry_after_s=0", "bounds.finish_s=10",
          "bounds.status_ttl_s=120", "bounds.cancel_ms=3000", "bounds.settle_ms=1000",
          "bounds.quota_overage=0.1", "bounds.fencing_required=true", "bounds.lease_ms=3000",
          "bounds.thaw_ms=300", "platform.address=127.0.0.1:" + store.port, "platform.form=log",
          "platform.writes_per_s=800", "platform.reads_per_s=2000", "platform.parts=16",
          "platform.append_ms=3.0", "platform.part_mb_s=20.0", "platform.read_mb_s=80.0",
          "platform.record_bytes=262144", "platform.call_bytes=2097152",
          "platform.retention_s=300", "platform.part_mb=200", "platform.ttl_min_ms=1000", ""));
    }

    /** Starts the process; it is started again after a short delay whenever it ends by itself. */
    void start() throws IOException {
      wanted = true;
      launch();
      Http.daemon(name + "-keeper", () -> {
        while (wanted) {
          int code = process.waitFor();
          if (!wanted) {
            return;
          }
          ends++;
          note(name + " ended by itself with code " + code);
          Thread.sleep(1000);
          launch();
        }
      });
    }

    private void launch() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(command.split(" +"));
      builder.environment().keySet()
          .retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder.environment().put("CAROBHOIST_BOOT", boot.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
          folder.resolve(name + ".log").toFile()));
      process = builder.start();
      note(name + " started, process " + process.pid());
    }

    void signal(String which) throws Exception {
      note(name + " gets " + which);
      new ProcessBuilder("kill", "-" + which, Long.toString(process.pid())).start().waitFor();
    }

    /** Sends SIGTERM; the process isn't started again. */
    void stopGracefully() throws Exception {
      wanted = false;
      signal("TERM");
      Http.daemon(name + "-end", () -> {
        int code = process.waitFor();
        note(name + " ended with code " + code);
      });
    }

    boolean isReady() {
      try (Http.Channel c = Http.Channel.open(ready)) {
        c.socket.setSoTimeout(1000);
        c.write("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0]);
        return Http.read(c.in).status() == 200;
      } catch (IOException | RuntimeException e) {
        return false;
      }
    }

    void stop() throws Exception {
      wanted = false;
      if (process != null) {
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
      }
    }
  }

  Gateway startGateway(String name) throws Exception {
    Gateway gateway = new Gateway(name);
    gateways.add(gateway);
    gateway.start();
    return gateway;
  }

  /** Waits until all gateways are ready; throws if they aren't in time. */
  void awaitReady() throws Exception {
    for (Gateway g : gateways) {
      await(g.name + " is ready", 30, g::isReady);
    }
    note("all gateways are ready");
  }

  /** A condition that may throw. */
  interface Condition {
    boolean holds() throws Exception;
  }

  void await(String what, int seconds, Condition condition) throws Exception {
    long end = System.nanoTime() + seconds * 1_000_000_000L;
    while (!condition.holds()) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("not in time: " + what);
      }
      Thread.sleep(100);
    }
  }

  /** Writes the manifest. */
  void manifest(int version, String routes, String services) {
    store.put("keyed.op", "config",
        "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
            + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    note("manifest " + version);
  }

  static String route(String name, String prefix, String kind, String service, String more) {
    return "{\"name\":\"" + name + "\",\"host\":\"ficu95.example\",\"path_prefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"priority\":1,\"service\":\"" + service + "\"" + more
        + "}";
  }

  static String engineService(String name) {
    return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":140,"
        + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":8,\"kv_cache_tokens\":41141,"
        + "\"kv_token_bytes\":18432,\"stride\":49,\"most\":12,\"models\":[{\"name\":\"m0\"}]}}";
  }

  static String plainService(String name) {
    return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":110,"
        + "\"protocol\":\"h1\",\"tls\":false}";
  }

  /** Submits a batch job and returns the status, 0 without an answer. */
  int submit(int front, String path, String id, String json) {
    byte[] body = json.getBytes();
    try (Http.Channel c = Http.Channel.open(front)) {
      c.socket.setSoTimeout(6000);
      c.write("POST " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nCarobhoist-Request-Id: " + id
          + "\r\nCarobhoist-Deadline-Ms: 3000\r\nContent-Type: application/json\r\n"
          + "Content-Length: " + body.length + "\r\n\r\n", body);
      Http.Message answer = Http.read(c.in);
      if (answer == null) {
        throw new IOException("closed");
      }
      int status = answer.status();
      note("batch job " + id + " answered " + status);
      return status;
    } catch (IOException | RuntimeException e) {
      note("batch job " + id + " got no answer: " + e);
      return 0;
    }
  }

  /** A call on a channel of its own; returns null without an answer. */
  Http.Message call(int front, String method, String target) {
    try (Http.Channel c = Http.Channel.open(front)) {
      c.socket.setSoTimeout(6000);
      c.write(method + " " + target + " HTTP/1.1\r\nHost: ficu95.example\r\n\r\n", new byte[0]);
      return Http.read(c.in);
    } catch (IOException | RuntimeException e) {
      return null;
    }
  }

  static String item(String id, int tokens, String more) {
    String body = Base64.getEncoder().encodeToString(("prompt of " + id).getBytes());
    return "{\"id\":\"" + id + "\",\"path\":\"/run/" + id
        + "\",\"headers\":{\"Carobhoist-Model\":\"m0\",\"Carobhoist-Token-Counts\":\"100," + tokens
        + "\",\"Carobhoist-Prompt-Prefix\":\"" + Integer.toHexString(id.hashCode())
        + ":100\"},\"body\":\"" + body + "\",\"tokens\":" + (100 + tokens) + ",\"group\":\"g1\""
        + more + "}";
  }

  static String job(int step, int minVersion, String... items) {
    return "{\"step\":" + step + ",\"model\":\"m0\",\"min_version\":" + minVersion
        + ",\"desired_count\":1,\"items\":[" + String.join(",", items) + "]}";
  }

  /** Copies the end of the gateways' logs into the record. */
  private void keepLogs() throws IOException {
    for (Gateway g : gateways) {
      Path log = folder.resolve(g.name + ".log");
      if (Files.exists(log)) {
        if (System.getenv("REVIEW_LOGS") != null) {
          Files.copy(log, Path.of(System.getenv("REVIEW_LOGS"), g.name + ".log"),
              java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
        Files.delete(log);
      }
      Files.deleteIfExists(g.boot);
    }
    Files.deleteIfExists(folder);
  }

  @Override
  public void close() throws Exception {
    for (Gateway g : gateways) {
      g.stop();
    }
    keepLogs();
    record.close();
  }

  /** A scenario returns the exit code. */
  interface Scenario {
    int play(Lab lab) throws Exception;
  }

  /** Arguments: the name of a scenario, and the file of the record. */
  public static void main(String[] args) throws Exception {
    int code = 2;
    Runtime.getRuntime().addShutdownHook(new Thread(
        () -> ProcessHandle.current().children().forEach(ProcessHandle::destroyForcibly)));
    Http.daemon("guard", () -> {
      Thread.sleep(115_000);
      System.out.println("could not run: over 115 s");
      ProcessHandle.current().children().forEach(ProcessHandle::destroyForcibly);
      Runtime.getRuntime().halt(2);
    });
    try (Lab lab = new Lab(Path.of(args[1]))) {
      Scenario scenario = (Scenario) Class.forName("review." + args[0])
          .getDeclaredConstructor().newInstance();
      code = scenario.play(lab);
    } catch (Exception | LinkageError | OutOfMemoryError e) {
      code = 2;
      System.out.println("could not run: " + e);
    }
    System.exit(code);
  }

  static String cut(String text) {
    return text.length() > 200 ? text.substring(0, 200) + "..." : text;
  }

}
