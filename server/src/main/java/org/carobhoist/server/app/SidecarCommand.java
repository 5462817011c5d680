package org.carobhoist.server.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.runtime.Service;
import org.carobhoist.server.settings.SettingsLoader;
import org.carobhoist.server.settings.SidecarSettings;
import org.carobhoist.server.sidecar.SidecarService;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the sidecar role. */
@Command(name = "sidecar", description = "Runs a sidecar beside one endpoint.")
final class SidecarCommand implements Callable<Integer> {

  @Option(
      names = {"-s", "--settings"},
      required = true,
      paramLabel = "FILE",
      description = "Settings file (INI).")
  private Path settings;

  @Override
  public Integer call() {
    return RoleRunner.run(this::service, settings);
  }

  private Service service() throws SettingsException {
    SidecarSettings loaded = SettingsLoader.loadSidecar(settings);
    EventLog.setLevel(loaded.instance().logLevel());
    return SidecarService.create(loaded);
  }
}
