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
import org.carobhoist.standin.PlatformClient;
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
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  private static final int EXIT_INVALID_SETTINGS = 2;

  @TempDir private Path folder;

  @Test
  void gatewayReadsTheBootFileOfTheEnvironmentVariable() throws IOException {
    StoreStandIn store = new StoreStandIn();
    PlatformServerStandIn app = new PlatformServerStandIn("app-1", false);
    store.start();
    app.start();
    store.publish(1, "idempotent");
    store.register("app", app);
    int clientPort = LoopbackPorts.next();
    String boot =
        PlatformDocuments.bootFile(
            "entry-1",
            clientPort,
            LoopbackPorts.next(),
            LoopbackPorts.nextPair(),
            store.uri().getAuthority());
    Process process = start(Files.writeString(folder.resolve("boot.conf"), boot));
    try {
      PlatformClient client = PlatformClient.of(clientPort, TIMEOUT);
      TestCluster.await("the gateway is ready", () -> isReady(client));
      assertThat(client.book("seat 1").status().code()).isEqualTo(200);
      process.destroy();
      assertThat(exitCode(process)).isEqualTo(0);
    } finally {
      process.destroyForcibly().onExit().join();
      app.stop();
      store.stop();
    }
  }

  @Test
  void gatewayExitsWithTwoWithoutBootFile() throws IOException {
    assertThat(exitCode(start(folder.resolve("none")))).isEqualTo(EXIT_INVALID_SETTINGS);
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
    return process.onExit().orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join().exitValue();
  }

  private static boolean isReady(PlatformClient client) {
    try {
      return client.ready().status().code() == 200;
    } catch (CompletionException e) {
      return false;
    }
  }
}
