package org.carobhoist.server.app;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.carobhoist.core.manifest.Manifest;
import org.carobhoist.core.manifest.ManifestChange;
import org.carobhoist.core.manifest.ManifestCheck;
import org.carobhoist.core.manifest.ManifestDiff;
import org.carobhoist.core.manifest.ManifestFinding;
import org.carobhoist.core.manifest.ManifestFinding.Severity;
import org.carobhoist.platform.ManifestDecoder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks a manifest before it is published. */
@Command(
    name = "check-manifest",
    description = {
      "Checks a manifest with the decoder of the gateways, and prints errors, entries that never",
      "match, limits that contradict each other and what differs from another version.",
      "Exits with 0 if there is no finding, 1 if there are only warnings, 2 if there are errors."
    })
final class CheckManifestCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "FILE", description = "Manifest to check (JSON).")
  private Path file;

  @Option(
      names = "--against",
      paramLabel = "FILE",
      description = "Manifest in force, to show what differs.")
  private Path against;

  @Option(names = "--json", description = "Prints the result as JSON.")
  private boolean json;

  /** Result of the command as printed in JSON. */
  record Report(List<ManifestFinding> findings, List<ManifestChange> changes) {}

  @Override
  public Integer call() throws JsonProcessingException {
    List<ManifestFinding> findings = new ArrayList<>();
    List<ManifestChange> changes = List.of();
    Optional<Manifest> checked = read(file, findings);
    checked.ifPresent(m -> findings.addAll(ManifestCheck.check(m)));
    if (against != null) {
      Optional<Manifest> inForce = read(against, findings);
      if (checked.isPresent() && inForce.isPresent()) {
        changes = ManifestDiff.between(inForce.get(), checked.get());
        checkVersion(inForce.get(), checked.get(), findings);
      }
    }
    print(new Report(findings, changes));
    return exitCode(findings);
  }

  private static Optional<Manifest> read(Path path, List<ManifestFinding> findings) {
    try {
      return Optional.of(ManifestDecoder.manifest(Files.readAllBytes(path)));
    } catch (IOException e) {
      findings.add(new ManifestFinding(Severity.ERROR, path.toString(), "can't be read"));
    } catch (IllegalArgumentException e) {
      findings.add(new ManifestFinding(Severity.ERROR, path.toString(), e.getMessage()));
    }
    return Optional.empty();
  }

  private static void checkVersion(
      Manifest inForce, Manifest next, List<ManifestFinding> findings) {
    if (next.version() <= inForce.version()) {
      String message =
          next.version() + " is not above " + inForce.version() + ", so gateways ignore it";
      findings.add(new ManifestFinding(Severity.ERROR, "version", message));
    }
  }

  private void print(Report report) throws JsonProcessingException {
    PrintWriter out = spec.commandLine().getOut();
    if (json) {
      out.println(new ObjectMapper().writeValueAsString(report));
      out.flush();
      return;
    }
    report
        .findings()
        .forEach(f -> out.println(f.severity() + " " + f.where() + ": " + f.message()));
    for (ManifestChange c : report.changes()) {
      out.println(c.kind() + " " + c.where());
      if (!c.before().isEmpty()) {
        out.println("  - " + c.before());
      }
      if (!c.after().isEmpty()) {
        out.println("  + " + c.after());
      }
    }
    if (report.findings().isEmpty()) {
      out.println(file + ": good");
    }
    out.flush();
  }

  private static int exitCode(List<ManifestFinding> findings) {
    if (findings.stream().anyMatch(f -> f.severity() == Severity.ERROR)) {
      return ExitCodes.USAGE;
    }
    return findings.isEmpty() ? ExitCodes.DONE : ExitCodes.FAILED;
  }
}
