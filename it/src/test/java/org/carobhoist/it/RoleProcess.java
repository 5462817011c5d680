package org.carobhoist.it;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.util.concurrent.TimeUnit;

/** A process of the binary under test. */
final class RoleProcess {

  private static final Path BINARY = Path.of("..", "server", "target", "carobhoist");
  private static final long STOP_SECONDS = 30;

  /** Whoever runs the tests may ignore SIGHUP; a JVM that inherits that never gets the signal. */
  private static final String DEFAULT_SIGNALS = "--default-signal=HUP";

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
    String mark = Instant.now() + " TEST event=0 text=start\n";
    Files.writeString(log, mark, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    process =
        new ProcessBuilder(
                "env", DEFAULT_SIGNALS, BINARY.toString(), role, "--settings", settings.toString())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
  }

  /** Asks the process to end, as a planned stop does, and returns its exit code. */
  int terminate() {
    process.destroy();
    return process.onExit().orTimeout(STOP_SECONDS, TimeUnit.SECONDS).join().exitValue();
  }

  /** Asks the process to end, and doesn't wait for it. */
  void askToEnd() {
    process.destroy();
  }

  /** Tells the process that its settings file has changed; returns once the signal is sent. */
  void hangUp() throws IOException {
    signal("-HUP");
  }

  /** Pauses the process. */
  void pause() throws IOException {
    signal("-STOP");
  }

  /** Lets a paused process go on. */
  void resume() throws IOException {
    signal("-CONT");
  }

  private void signal(String option) throws IOException {
    new ProcessBuilder("kill", option, Long.toString(process.pid())).start().onExit().join();
  }

  /** Ends the process at once, as a crash does. */
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
