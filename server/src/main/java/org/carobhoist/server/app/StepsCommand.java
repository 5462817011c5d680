package org.carobhoist.server.app;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import javax.xml.stream.XMLStreamException;
import org.carobhoist.core.report.LogLine;
import org.carobhoist.core.report.LossTable;
import org.carobhoist.core.report.StepLog;
import org.carobhoist.core.report.StepLoss;
import org.carobhoist.server.report.StepChart;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Reports from log files how the time of each step was spent. */
@Command(
    name = "steps",
    description = {
      "Reads the logs of a day's gateways and prints, for each step, its duration, its lower bound",
      "and the time lost to each cause. Exits with 1 if no step was found."
    })
final class StepsCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "LOG", arity = "1..*", description = "Log files of all processes.")
  private List<Path> files;

  @Option(
      names = "--plot",
      paramLabel = "FILE",
      description = "Also writes a chart of the steps to an SVG file.")
  private Path plot;

  @Override
  public Integer call() throws IOException, XMLStreamException {
    StepLog log = StepLog.create();
    for (Path file : files) {
      try (BufferedReader reader = Files.newBufferedReader(file)) {
        reader.lines().forEach(l -> LogLine.parse(l).ifPresent(log::add));
      }
    }
    List<StepLoss> steps = log.losses();
    PrintWriter out = spec.commandLine().getOut();
    LossTable.lines(steps).forEach(out::println);
    out.println(
        "steps accepted: " + log.acceptedCount() + ", ended with a result: " + steps.size());
    out.flush();
    if (plot != null) {
      try (Writer writer = Files.newBufferedWriter(plot)) {
        StepChart.write(steps, writer);
      }
    }
    return steps.isEmpty() ? ExitCodes.FAILED : ExitCodes.DONE;
  }
}
