package org.carobhoist.server.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.server.entry.EntryService;
import org.carobhoist.server.log.EventLog;
import org.carobhoist.server.runtime.Service;
import org.carobhoist.server.settings.EntrySettings;
import org.carobhoist.server.settings.SettingsLoader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the entry role. */
@Command(name = "entry", description = "Runs an entry, which serves callers and trainers.")
final class EntryCommand implements Callable<Integer> {

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
    EntrySettings loaded = SettingsLoader.loadEntry(settings);
    EventLog.setLevel(loaded.instance().logLevel());
    return EntryService.create(loaded);
  }
}
