package org.carobhoist.server.app;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import org.carobhoist.core.common.ProfileName;
import org.carobhoist.core.profile.FoldOutcome;
import org.carobhoist.core.profile.ProfileChange;
import org.carobhoist.core.profile.ProfileEntry;
import org.carobhoist.core.profile.ProfileFold;
import org.carobhoist.core.profile.ProfileReader;
import org.carobhoist.core.profile.Revision;
import org.carobhoist.core.settings.SettingsException;
import org.carobhoist.server.logservice.OperatorClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Publishes, changes, retires and shows profiles. */
@Command(name = "profile", description = "Publishes, changes, retires and shows profiles.")
final class ProfileCommand {

  @Spec private CommandSpec spec;

  @Command(description = "Publishes a new profile, or republishes a retired one.")
  int publish(
      @Mixin PlatformOptions platform,
      @Mixin ChangeOptions options,
      @Parameters(paramLabel = "NAME", description = "The profile's name.") String name,
      @Parameters(paramLabel = "FILE", description = "The document (INI).") Path file) {
    return submit(platform, options, ProfileChange.Kind.PUBLISH, name, file);
  }

  @Command(description = "Replaces the document of a profile.")
  int change(
      @Mixin PlatformOptions platform,
      @Mixin ChangeOptions options,
      @Parameters(paramLabel = "NAME", description = "The profile's name.") String name,
      @Parameters(paramLabel = "FILE", description = "The new document (INI).") Path file) {
    return submit(platform, options, ProfileChange.Kind.CHANGE, name, file);
  }

  @Command(description = "Retires a profile: work in flight finishes, new work is refused.")
  int retire(
      @Mixin PlatformOptions platform,
      @Mixin ChangeOptions options,
      @Parameters(paramLabel = "NAME", description = "The profile's name.") String name) {
    return submit(platform, options, ProfileChange.Kind.RETIRE, name, null);
  }

  @Command(description = "Lists the profiles with their revisions.")
  int list(@Mixin PlatformOptions platform) {
    return withClient(platform, client -> printList(client.read().join().entries()));
  }

  @Command(description = "Shows a profile's document.")
  int show(
      @Mixin PlatformOptions platform,
      @Parameters(paramLabel = "NAME", description = "The profile's name.") String name) {
    return withClient(platform, client -> printEntry(client.read().join(), new ProfileName(name)));
  }

  @Command(description = "Shows the changes to a profile that the log still holds.")
  int history(
      @Mixin PlatformOptions platform,
      @Parameters(paramLabel = "NAME", description = "The profile's name.") String name) {
    return withClient(platform, client -> printHistory(client, new ProfileName(name)));
  }

  private interface Action {
    int run(OperatorClient client) throws IOException, SettingsException;
  }

  private int withClient(PlatformOptions platform, Action action) {
    try (OperatorClient client = OperatorClient.create(platform.url(), platform.timeout())) {
      return action.run(client);
    } catch (SettingsException | IllegalArgumentException e) {
      return fail(ExitCodes.USAGE, e.getMessage());
    } catch (IOException e) {
      return fail(ExitCodes.USAGE, "can't be read: " + e.getMessage());
    } catch (CompletionException e) {
      return fail(ExitCodes.FAILED, "the outcome is not known: " + e.getCause());
    }
  }

  private int submit(
      PlatformOptions platform,
      ChangeOptions options,
      ProfileChange.Kind kind,
      String nameText,
      Path file) {
    return withClient(
        platform,
        client -> {
          ProfileName name = new ProfileName(nameText);
          String document = file == null ? "" : Files.readString(file, StandardCharsets.UTF_8);
          if (file != null) {
            ProfileReader.check(name, file.toString(), document);
          }
          Revision base = base(client, name, options.expectedRevision());
          String id = UUID.randomUUID().toString();
          ProfileChange change =
              new ProfileChange(id, kind, name, base, document, options.operator());
          FoldOutcome outcome = client.submit(change).join();
          return report(client, platform, options, change, outcome);
        });
  }

  private static Revision base(OperatorClient client, ProfileName name, Long expect) {
    Revision current =
        client.read().join().entry(name).map(ProfileEntry::revision).orElse(Revision.NONE);
    return expect == null ? current : new Revision(expect);
  }

  private int report(
      OperatorClient client,
      PlatformOptions platform,
      ChangeOptions options,
      ProfileChange change,
      FoldOutcome outcome) {
    switch (outcome.status()) {
      case CONFLICT -> {
        return fail(ExitCodes.CONFLICT, conflict(change, outcome));
      }
      case INVALID -> {
        return fail(ExitCodes.USAGE, change.profile() + ": " + outcome.detail());
      }
      default -> out().println(change.profile() + " is at revision " + outcome.current());
    }
    return options.awaitPropagation()
        ? PropagationReport.await(client, platform.timeout(), outcome.current(), out())
        : ExitCodes.DONE;
  }

  private static String conflict(ProfileChange change, FoldOutcome outcome) {
    String winner =
        outcome.winner().isEmpty()
            ? "there is no such profile"
            : "made by " + outcome.winnerOperator() + " with change " + outcome.winner();
    return "%s: the change builds on revision %s, but the current is %s, %s"
        .formatted(change.profile(), outcome.base(), outcome.current(), winner);
  }

  private int printList(Map<ProfileName, ProfileEntry> entries) {
    for (ProfileEntry e : entries.values()) {
      String state = e.retired() ? "retired" : "in-force";
      out().printf("%s revision=%s %s operator=%s%n", e.name(), e.revision(), state, e.operator());
    }
    out().flush();
    return ExitCodes.DONE;
  }

  private int printEntry(ProfileFold fold, ProfileName name) {
    if (fold.entry(name).isEmpty()) {
      return fail(ExitCodes.FAILED, "there is no profile " + name);
    }
    ProfileEntry e = fold.entry(name).get();
    out().printf("; %s, revision %s%s%n", name, e.revision(), e.retired() ? ", retired" : "");
    out().print(e.document());
    out().flush();
    return ExitCodes.DONE;
  }

  private int printHistory(OperatorClient client, ProfileName name) {
    client.read().join();
    for (OperatorClient.HistoryItem item : client.history()) {
      ProfileChange change = item.change();
      if (change.profile().equals(name)) {
        String kind = change.kind().name().toLowerCase(Locale.ROOT);
        out()
            .printf(
                "%d %s base=%s operator=%s change=%s %s %s%n",
                item.offset(),
                kind,
                change.base(),
                change.operator(),
                change.changeId(),
                item.outcome().status(),
                item.outcome().detail());
      }
    }
    out().flush();
    return ExitCodes.DONE;
  }

  private int fail(int code, String message) {
    PrintWriter err = spec.commandLine().getErr();
    err.println(message);
    err.flush();
    return code;
  }

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }
}
