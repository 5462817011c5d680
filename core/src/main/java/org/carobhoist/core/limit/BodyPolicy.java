package org.carobhoist.core.limit;

import java.time.Duration;

/**
 * Tunables of {@link BodyAdmission}.
 *
 * @param queueBytes bytes that the HTTP library receives of a body that isn't read, at most
 * @param firstBytes bytes counted for each incomplete body at its start; smaller bodies never wait
 * @param reserveDivisor part of the budget that larger bodies leave to small ones
 * @param stallTime time without a byte after which a body yields to one that waits
 * @param maxWait time for which a body waits before it is refused
 * @param ratePeriod period in which a body that isn't paused must receive {@code minBytes}
 * @param minBytes fewest bytes of a body in a rate period
 */
public record BodyPolicy(
    long queueBytes,
    long firstBytes,
    int reserveDivisor,
    Duration stallTime,
    Duration maxWait,
    Duration ratePeriod,
    long minBytes) {

  /**
   * The defaults. The HTTP library stops reading a connection at 128 KiB that its service hasn't
   * read, after a last read of at most 64 KiB. The rate period is the usual idle timeout of a
   * manifest.
   */
  public static final BodyPolicy DEFAULT =
      new BodyPolicy(
          128 << 10,
          192 << 10,
          8,
          Duration.ofSeconds(1),
          Duration.ofSeconds(5),
          Duration.ofSeconds(15),
          1_024);
}
