package org.carobhoist.core.testing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Runs a scenario with every fault at every step, alone and in pairs, and writes a report to {@code
 * target/matrix/NAME.txt}: the result of each cell, and the number of cells that ran and failed.
 *
 * @param <S> the steps
 * @param <F> the faults
 */
public final class FaultMatrix<S extends Enum<S>, F extends Enum<F>> {

  private static final Path REPORT_DIRECTORY = Path.of("target", "matrix");

  private final String name;
  private final List<Injection<S, F>> injections = new ArrayList<>();
  private final TreeMap<String, Optional<String>> cells = new TreeMap<>();

  /**
   * One fault at one step.
   *
   * @param step the step at which the fault is injected
   * @param fault the fault
   */
  public record Injection<S, F>(S step, F fault) {

    @Override
    public String toString() {
      return fault + " at " + step;
    }
  }

  /** A scenario to run under faults. */
  @FunctionalInterface
  public interface Scenario<S, F> {

    /** Runs the scenario with one or two injections; returns the failure, or empty. */
    Optional<String> run(List<Injection<S, F>> injections);
  }

  private FaultMatrix(String name, Class<S> steps, Class<F> faults) {
    this.name = name;
    for (S step : steps.getEnumConstants()) {
      for (F fault : faults.getEnumConstants()) {
        injections.add(new Injection<>(step, fault));
      }
    }
  }

  /** Returns a matrix of all steps and faults. */
  public static <S extends Enum<S>, F extends Enum<F>> FaultMatrix<S, F> of(
      String name, Class<S> steps, Class<F> faults) {
    return new FaultMatrix<>(name, steps, faults);
  }

  /** Runs all cells, writes the report and returns the failed cells with their failures. */
  public List<String> run(Scenario<S, F> scenario) throws IOException {
    for (int i = 0; i < injections.size(); i++) {
      runCell(scenario, List.of(injections.get(i)));
      for (int j = i; j < injections.size(); j++) {
        runCell(scenario, List.of(injections.get(i), injections.get(j)));
      }
    }
    List<String> failed = new ArrayList<>();
    cells.forEach((cell, result) -> result.ifPresent(failure -> failed.add(cell + ": " + failure)));
    write(failed.size());
    return failed;
  }

  /** Runs cells until one fails and returns it with its failure; writes no report. */
  public Optional<String> findBroken(Scenario<S, F> scenario) {
    for (int i = 0; i < injections.size(); i++) {
      for (int j = i; j < injections.size(); j++) {
        List<Injection<S, F>> cell = List.of(injections.get(i), injections.get(j));
        Optional<String> result = scenario.run(cell);
        if (result.isPresent()) {
          return result.map(failure -> cell + ": " + failure);
        }
      }
    }
    return Optional.empty();
  }

  /** Returns the number of cells that {@link #run} has run. */
  public int cellCount() {
    return cells.size();
  }

  private void runCell(Scenario<S, F> scenario, List<Injection<S, F>> cell) {
    Optional<String> result;
    try {
      result = scenario.run(cell);
    } catch (RuntimeException e) {
      result = Optional.of("threw " + e);
    }
    cells.put(cell.toString(), result);
  }

  private void write(int failed) throws IOException {
    StringBuilder out = new StringBuilder();
    out.append("matrix ").append(name).append('\n');
    out.append("cells tried ").append(cells.size()).append('\n');
    out.append("cells broken ").append(failed).append('\n');
    cells.forEach(
        (cell, result) ->
            out.append(cell).append(" = ").append(result.orElse("held")).append('\n'));
    Files.createDirectories(REPORT_DIRECTORY);
    Files.writeString(REPORT_DIRECTORY.resolve(name + ".txt"), out);
  }
}
