package org.carobhoist.server.app;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletionException;
import org.carobhoist.core.settings.SocketAddressText;
import org.carobhoist.server.state.StateText;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows the state of running processes. */
@Command(
    name = "state",
    description = "Shows the state of a running process.",
    subcommands = StateCommand.Dump.class)
final class StateCommand {

  private StateCommand() {}

  /** Output formats of a state dump. */
  enum Format {
    /** Indented lines, meant for reading. */
    TEXT,
    /** The JSON that the process returned, indented. */
    JSON
  }

  /** Prints the state dump of one process. */
  @Command(
      name = "dump",
      description = {
        "Prints a consistent snapshot of one process, taken without stopping its work:",
        "configuration, links, limits, queues and work in flight."
      })
  static final class Dump implements Callable<Integer> {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    @Spec private CommandSpec spec;

    @Parameters(
        paramLabel = "ADDRESS",
        converter = AddressConverter.class,
        description = "HTTP address of the process, such as 10.0.0.7:8080.")
    private SocketAddressText address;

    @Option(
        names = {"-f", "--format"},
        paramLabel = "FORMAT",
        defaultValue = "text",
        description = "text or json (default: ${DEFAULT-VALUE}).")
    private Format format;

    @Override
    public Integer call() {
      PrintWriter err = spec.commandLine().getErr();
      try {
        AggregatedHttpResponse response = read();
        if (!response.status().equals(HttpStatus.OK)) {
          err.println("carobhoist: " + address + " answered " + response.status());
          return ExitCodes.FAILED;
        }
        spec.commandLine().getOut().print(render(response.contentUtf8()));
        spec.commandLine().getOut().flush();
        return ExitCodes.DONE;
      } catch (CompletionException | JsonProcessingException e) {
        err.println("carobhoist: no state from " + address + ": " + e.getMessage());
        return ExitCodes.FAILED;
      }
    }

    private AggregatedHttpResponse read() {
      String url = "http://" + address.host() + ":" + address.port();
      WebClient client = WebClient.builder(url).responseTimeout(TIMEOUT).build();
      return client.get("/state").aggregate().join();
    }

    private String render(String json) throws JsonProcessingException {
      JsonNode tree = new ObjectMapper().readTree(json);
      return format == Format.JSON ? tree.toPrettyString() + "\n" : StateText.render(tree);
    }
  }

  /** Converts a command line argument to an address. */
  static final class AddressConverter implements CommandLine.ITypeConverter<SocketAddressText> {

    @Override
    public SocketAddressText convert(String text) {
      try {
        return SocketAddressText.parse(text);
      } catch (IllegalArgumentException e) {
        throw new CommandLine.TypeConversionException(
            "'" + text + "' is not an IP number and port, such as 10.0.0.7:8080");
      }
    }
  }
}
