package org.carobhoist.core.job;

import java.util.List;

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
 */
public record JobItem(
    ItemId id,
    String group,
    String path,
    List<Header> headers,
    byte[] body,
    int promptTokens,
    int maxTokens,
    int expectedTokens) {

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
}
