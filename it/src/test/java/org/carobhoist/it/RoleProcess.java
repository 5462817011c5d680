package org.carobhoist.it;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A process of the binary under test, run in one of its roles. */
final class RoleProcess {

  private static final Path BINARY = Path.of("..", "server", "target", "carobhoist");
  private static final long STOP_TIMEOUT_SECONDS = 30;

  /** State of a stopped thread in its stat file. */
  private static final char STOPPED = 'T';

  /**
   * Restores the default handling of SIGHUP. If the parent of the test run ignores the signal, the
   * JVM would inherit that and never receive it.
   */
  private static final String DEFAULT_SIGHUP_OPTION = "--default-signal=HUP";

  private final String role;
  private final Path settings;
  private final Path log;
  private Process process;

  private RoleProcess(String role, Path settings, Path log) {
    this.role = role;
    this.settings = settings;
    this.log = log;
  }

  static RoleProcess start(String role, Path folder, String name, String ini) throws IOException {
    Path file = folder.resolve(name + ".ini");
    Files.writeString(file, ini);
    RoleProcess p = new RoleProcess(role, file, folder.resolve(name + ".log"));
    p.restart();
    return p;
  }

  /** Starts the process again with the same settings. */
  void restart() throws IOException {
    // ConfigTimeline uses this line to tell the runs of a process apart.
    String startMarker = Instant.now() + " TEST event=0 text=start\n";
    Files.writeString(log, startMarker, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    process =
        new ProcessBuilder(
                "env",
                DEFAULT_SIGHUP_OPTION,
                BINARY.toString(),
                role,
                "--settings",
                settings.toString())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
  }

  /** Sends SIGTERM, as for a planned stop, waits for the exit and returns the exit code. */
  int terminate() {
    process.destroy();
    return process.onExit().orTimeout(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS).join().exitValue();
  }

  /** Sends SIGTERM without waiting for the exit. */
  void requestStop() {
    process.destroy();
  }

  /** Sends SIGHUP, which makes the process reload its settings, without waiting for the reload. */
  void reloadSettings() throws IOException {
    signal("-HUP");
  }

  /**
   * Suspends the process with SIGSTOP and waits until each of its threads has stopped, which takes
   * until the thread is scheduled again.
   */
  void pause() throws IOException {
    signal("-STOP");
    TestCluster.await("process " + pid() + " is stopped", this::isStopped);
  }

  private boolean isStopped() {
    Path threads = Path.of("/proc", Long.toString(pid()), "task");
    try (Stream<Path> all = Files.list(threads)) {
      return all.allMatch(RoleProcess::isStoppedThread);
    } catch (IOException e) {
      throw new AssertionError("threads of process " + pid() + " can't be listed", e);
    }
  }

  private static boolean isStoppedThread(Path thread) {
    try {
      String status = Files.readString(thread.resolve("stat"));
      // The state follows the thread's name, which stands in parentheses and may contain blanks.
      return status.charAt(status.lastIndexOf(')') + 2) == STOPPED;
    } catch (IOException e) {
      return false;
    }
  }

  /** Resumes a suspended process with SIGCONT. */
  void resume() throws IOException {
    signal("-CONT");
  }

  private void signal(String option) throws IOException {
    new ProcessBuilder("kill", option, Long.toString(process.pid())).start().onExit().join();
  }

  /** Kills the process at once, as in a crash, and waits for its exit. */
  void kill() {
    process.destroyForcibly().onExit().join();
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  String log() throws IOException {
    return Files.readString(log);
  }
}
