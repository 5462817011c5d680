import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The frame of a case: its record, its exit code, and the end of the processes it started. */
final class Case {

  /** Returns whether the rule was broken. */
  interface Body {
    boolean run(Path folder, boolean trouble) throws Exception;
  }

  private Case() {}

  /**
   * Runs a case and ends the process with 1 if the rule was broken, 0 if it held, else 2.
   *
   * @param args the folder of the case, and 0 to leave the disruption out
   */
  static void main(String[] args, Body body) throws IOException {
    Record.open(Path.of(args[0]));
    boolean trouble = !args[1].equals("0");
    Record.line(trouble ? "with the disruption" : "without the disruption");
    Wire.thread(
        () -> {
          Wire.sleep(115_000);
          Record.line("the case took too long");
          System.exit(2);
        });
    int code;
    try {
      boolean broken = body.run(Files.createTempDirectory("review"), trouble);
      Record.line(broken ? "the rule was broken" : "the rule held");
      code = broken ? 1 : 0;
    } catch (Exception e) {
      Record.line("the case couldn't run: " + e);
      e.printStackTrace();
      code = 2;
    }
    System.exit(code);
  }
}
