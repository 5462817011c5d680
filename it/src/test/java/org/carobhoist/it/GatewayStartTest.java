package org.carobhoist.it;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.carobhoist.platform.BootFile;
import org.carobhoist.standin.LoopbackPorts;
import org.carobhoist.standin.PlatformCaller;
import org.carobhoist.standin.PlatformDocuments;
import org.carobhoist.standin.PlatformServerStandIn;
import org.carobhoist.standin.StoreStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a gateway that doesn't start without options, as the platform starts it. */
final class GatewayStartTest {

  private static final String BINARY =
      Path.of("..", "server", "target", "carobhoist").toAbsolutePath().normalize().toString();

  /** Timeout for a response or the exit of a process, far above the usual time. */
  private static final Duration LIMIT = Duration.ofSeconds(60);

  private static final int WRONG_SETTINGS = 2;

  @TempDir private Path folder;

  @Test
  void gatewayReadsTheBootFileThatTheVariableNames() throws IOException {
    StoreStandIn store = new StoreStandIn();
    PlatformServerStandIn app = new PlatformServerStandIn("app-1", false);
    store.start();
    app.start();
    store.publish(1, "idempotent");
    store.register("app", app);
    int front = LoopbackPorts.next();
    String boot =
        PlatformDocuments.bootFile(
            "entry-1",
            front,
            LoopbackPorts.next(),
            LoopbackPorts.nextPair(),
            store.uri().getAuthority());
    Process process = start(Files.writeString(folder.resolve("boot.conf"), boot));
    try {
      PlatformCaller caller = PlatformCaller.of(front, LIMIT);
      TestCluster.await("the gateway is ready", () -> isReady(caller));
      assertThat(caller.book("seat 1").status().code()).isEqualTo(200);
      process.destroy();
      assertThat(exitCode(process)).isEqualTo(0);
    } finally {
      process.destroyForcibly().onExit().join();
      app.stop();
      store.stop();
    }
  }

  @Test
  void gatewayWithoutBootFileEndsWithTwo() throws IOException {
    assertThat(exitCode(start(folder.resolve("none")))).isEqualTo(WRONG_SETTINGS);
  }

  private Process start(Path boot) throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(BINARY, "gateway")
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("log").toFile());
    builder.environment().put(BootFile.VARIABLE, boot.toString());
    return builder.start();
  }

  private static int exitCode(Process process) {
    return process.onExit().orTimeout(LIMIT.toSeconds(), TimeUnit.SECONDS).join().exitValue();
  }

  private static boolean isReady(PlatformCaller caller) {
    try {
      return caller.ready().status().code() == 200;
    } catch (CompletionException e) {
      return false;
    }
  }
}
