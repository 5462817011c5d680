package org.carobhoist.server.app;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.Set;
import org.carobhoist.core.profile.Revision;
import org.carobhoist.server.logservice.AppliedOffsetWatch;
import org.carobhoist.server.logservice.OperatorClient;

/** Waits until a revision is in force on every live process and prints those that lag behind. */
final class PropagationReport {

  private PropagationReport() {}

  /**
   * Waits and prints the result.
   *
   * @return {@link ExitCodes#DONE}, or {@link ExitCodes#FAILED} if a process still lags behind
   */
  static int await(OperatorClient client, Duration timeout, Revision revision, PrintWriter out) {
    try (AppliedOffsetWatch watch = AppliedOffsetWatch.of(client.instances(), revision.offset())) {
      Set<String> lagging = watch.await(timeout).join();
      if (lagging.isEmpty()) {
        out.println("in force on every live process");
      } else {
        out.println("not yet in force on:");
        lagging.forEach(line -> out.println("  " + line));
      }
      out.flush();
      return lagging.isEmpty() ? ExitCodes.DONE : ExitCodes.FAILED;
    }
  }
}
