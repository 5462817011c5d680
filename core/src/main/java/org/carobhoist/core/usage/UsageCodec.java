package org.carobhoist.core.usage;

import java.util.Map;
import org.carobhoist.core.account.AccountName;

/** Encodes and decodes what is stored and sent of usage. */
public interface UsageCodec {

  /** Encodes a checkpoint. */
  byte[] encodeCheckpoint(UsageCheckpoint checkpoint);

  /**
   * Decodes a checkpoint.
   *
   * @throws IllegalArgumentException if the bytes aren't a valid checkpoint
   */
  UsageCheckpoint decodeCheckpoint(byte[] bytes);

  /** Encodes the decision of a window. */
  byte[] encodeDecision(long window, byte[] body);

  /**
   * Returns the body that was decided for a window.
   *
   * @throws IllegalArgumentException if the bytes aren't a valid decision
   */
  byte[] decodeDecision(byte[] bytes);

  /** Returns the body of a window's report to the platform. */
  byte[] reportBody(long window, Map<AccountName, Long> counts);
}
