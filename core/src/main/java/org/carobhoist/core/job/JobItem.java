package org.carobhoist.core.job;

import java.util.List;
import java.util.Optional;

/**
 * One item of a job: a request for tokens.
 *
 * @param id its id
 * @param group the group whose items share a prompt; empty for none
 * @param path the path at the engine
 * @param headers the headers to send along
 * @param body the body
 * @param promptTokens tokens of its prompt, as far as the submitter says
 * @param maxTokens most tokens to generate; 0 if unknown
 * @param expectedTokens the submitter's estimate of the tokens generated; 0 if there is none
 * @param reward the request that scores the text; empty where results have no score
 */
public record JobItem(
    ItemId id,
    String group,
    String path,
    List<Header> headers,
    byte[] body,
    int promptTokens,
    int maxTokens,
    int expectedTokens,
    Optional<RewardRequest> reward) {

  /**
   * A header.
   *
   * @param name its name
   * @param value its value
   */
  public record Header(String name, String value) {}

  /** Copies the headers. */
  public JobItem {
    headers = List.copyOf(headers);
  }

  /** Creates an item whose result has no score. */
  public JobItem(
      ItemId id,
      String group,
      String path,
      List<Header> headers,
      byte[] body,
      int promptTokens,
      int maxTokens,
      int expectedTokens) {
    this(id, group, path, headers, body, promptTokens, maxTokens, expectedTokens, Optional.empty());
  }

  /** Returns this item with the request that scores its text. */
  public JobItem withReward(RewardRequest request) {
    return new JobItem(
        id,
        group,
        path,
        headers,
        body,
        promptTokens,
        maxTokens,
        expectedTokens,
        Optional.of(request));
  }
}
