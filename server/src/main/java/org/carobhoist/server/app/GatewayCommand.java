package org.carobhoist.server.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.carobhoist.platform.BootFile;
import org.carobhoist.server.gateway.GatewayService;
import org.carobhoist.server.log.EventLog;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs an entry that keeps its durable state on the users' platform. */
@Command(
    name = GatewayCommand.NAME,
    description = "Runs an entry that keeps its durable state on the platform.")
final class GatewayCommand implements Callable<Integer> {

  static final String NAME = "gateway";

  @Option(
      names = {"-b", "--boot", "-s", "--settings"},
      paramLabel = "FILE",
      description =
          "The platform's boot file; default: the value of the environment variable "
              + BootFile.VARIABLE
              + ".")
  private Path boot;

  @Override
  public Integer call() {
    EventLog.writeToStandardOutput();
    Path file = file();
    return RoleRunner.run(() -> GatewayService.create(BootFile.read(file)), file);
  }

  private Path file() {
    String named = System.getenv(BootFile.VARIABLE);
    return boot != null ? boot : Path.of(named == null ? "boot.conf" : named);
  }
}
