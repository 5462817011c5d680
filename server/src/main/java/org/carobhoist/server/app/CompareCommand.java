package org.carobhoist.server.app;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.carobhoist.core.report.PairedComparison;
import org.carobhoist.core.report.PlayKey;
import org.carobhoist.server.report.PlayJournal;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Plays variants of the system on the same days and seeds, and prints how they differ. */
@Command(
    name = "compare",
    description = {
      "Plays checkouts of the system on the same days and seeds of a bench, by turns, so that the",
      "machine's noise falls on all alike. Prints the mean differences to the first variant with",
      "their 95%% intervals as a Markdown table. Each play leaves an entry in the journal of its",
      "checkout. A play that was given up or broke a rule yields no figures; exits with 1 then."
    })
final class CompareCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Option(
      names = "--bench",
      required = true,
      paramLabel = "PROGRAM",
      description = "The bench; started in each checkout with 'build' and with 'run SITE DAY'.")
  private Path bench;

  @Option(
      names = "--site",
      required = true,
      paramLabel = "FILE",
      description = "Site file; may be repeated.")
  private List<Path> sites;

  @Option(
      names = "--days",
      required = true,
      split = ",",
      paramLabel = "DAY",
      description = "Names of days, separated by commas.")
  private List<String> days;

  @Option(
      names = "--seeds",
      required = true,
      split = ",",
      paramLabel = "SEED",
      description = "Seeds of the days' variations, separated by commas.")
  private List<Long> seeds;

  @Option(
      names = "--jobs",
      defaultValue = "1",
      paramLabel = "COUNT",
      description = "Plays beside each other; default: ${DEFAULT-VALUE}.")
  private int jobs;

  @Option(
      names = "--why",
      required = true,
      paramLabel = "TEXT",
      description = "The hypothesis, for the journal.")
  private String why;

  @Parameters(
      paramLabel = "NAME=FOLDER",
      arity = "2..*",
      description = "Variants, each a checkout with its build's sources committed.")
  private Map<String, Path> variants = new LinkedHashMap<>();

  private record Task(Path site, String day, long seed, String variant, Path folder) {}

  private record Outcome(Task task, Optional<PlayJournal.Play> play) {}

  @Override
  public Integer call() throws IOException, InterruptedException {
    check();
    for (Map.Entry<String, Path> variant : variants.entrySet()) {
      if (run(variant.getValue(), List.of("build")) != 0) {
        throw new ParameterException(
            spec.commandLine(),
            "variant " + variant.getKey() + ": " + variant.getValue() + " does not build");
      }
    }
    PairedComparison comparison = PairedComparison.of(List.copyOf(variants.keySet()));
    PrintWriter out = spec.commandLine().getOut();
    int missing = 0;
    for (Outcome outcome : playAll()) {
      Task task = outcome.task();
      Optional<PlayJournal.Play> play = outcome.play();
      if (play.isPresent() && play.get().problem().isEmpty()) {
        PlayKey key = new PlayKey(play.get().site(), task.day(), task.seed());
        comparison.add(key, task.variant(), play.get().figures());
      } else {
        missing++;
        out.println("no figures: " + name(task) + ": " + problem(play));
      }
    }
    comparison.table().forEach(out::println);
    out.flush();
    return missing == 0 ? ExitCodes.DONE : ExitCodes.FAILED;
  }

  private void check() {
    variants.forEach(
        (name, folder) -> {
          if (!Files.isDirectory(folder)) {
            throw new ParameterException(
                spec.commandLine(), "variant " + name + ": no such folder: " + folder);
          }
        });
    for (Path site : sites) {
      if (!Files.isRegularFile(site)) {
        throw new ParameterException(spec.commandLine(), "no such site file: " + site);
      }
    }
    if (jobs < 1) {
      throw new ParameterException(spec.commandLine(), "--jobs: " + jobs + " is less than 1");
    }
  }

  private List<Outcome> playAll() throws InterruptedException {
    ExecutorService players = Executors.newFixedThreadPool(jobs);
    try {
      List<Future<Outcome>> started = new ArrayList<>();
      for (Task task : tasks()) {
        started.add(players.submit(() -> play(task)));
      }
      List<Outcome> outcomes = new ArrayList<>();
      PrintWriter progress = spec.commandLine().getErr();
      for (Future<Outcome> future : started) {
        Outcome outcome = result(future);
        outcomes.add(outcome);
        progress.println(outcomes.size() + " of " + started.size() + ": " + name(outcome.task()));
        progress.flush();
      }
      return outcomes;
    } finally {
      players.shutdownNow();
    }
  }

  /** Returns the plays in their order: all variants of a day and seed follow each other. */
  private List<Task> tasks() {
    List<Task> tasks = new ArrayList<>();
    for (long seed : seeds) {
      for (Path site : sites) {
        for (String day : days) {
          variants.forEach((name, folder) -> tasks.add(new Task(site, day, seed, name, folder)));
        }
      }
    }
    return tasks;
  }

  private Outcome play(Task task) throws IOException, InterruptedException {
    String id = UUID.randomUUID().toString();
    String line = why + " [" + name(task) + ", play " + id + "]";
    run(
        task.folder(),
        List.of(
            "run",
            task.site().toAbsolutePath().toString(),
            task.day(),
            "--vary",
            "--seed",
            Long.toString(task.seed()),
            "--jobs",
            "1",
            "--why",
            line));
    return new Outcome(task, PlayJournal.find(task.folder().resolve("journal"), id));
  }

  private int run(Path folder, List<String> arguments) throws IOException, InterruptedException {
    List<String> command = new ArrayList<>(List.of(bench.toAbsolutePath().toString()));
    command.addAll(arguments);
    Process process =
        new ProcessBuilder(command)
            .directory(folder.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    try {
      return process.waitFor();
    } finally {
      process.destroy();
    }
  }

  private static Outcome result(Future<Outcome> future) throws InterruptedException {
    try {
      return future.get();
    } catch (ExecutionException e) {
      throw new IllegalStateException("a play could not be started or read", e.getCause());
    }
  }

  private static String problem(Optional<PlayJournal.Play> play) {
    return play.map(PlayJournal.Play::problem)
        .orElse("no entry in the journal; the site may lack the day");
  }

  private static String name(Task task) {
    String site = task.site().getFileName().toString();
    return task.variant() + " on " + site + " " + task.day() + " seed " + task.seed();
  }
}
