package org.carobhoist.core.job;

import java.util.List;
import java.util.Optional;

/**
 * One item of a job: a request to an engine to generate tokens.
 *
 * @param id its id
 * @param group the group, whose items share a prompt; empty if the item has none
 * @param path path of the request to the engine
 * @param headers headers of the request
 * @param body body of the request
 * @param promptTokens number of prompt tokens, as stated by the submitter
 * @param maxTokens maximum number of tokens to generate; 0 if unknown
 * @param expectedTokens estimate by the submitter of the number of generated tokens; 0 if unknown
 * @param reward the request that scores the text; empty if the result has no score
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

  /** Returns this item with other headers. */
  public JobItem withHeaders(List<Header> newHeaders) {
    return new JobItem(
        id, group, path, newHeaders, body, promptTokens, maxTokens, expectedTokens, reward);
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
