package org.carobhoist.core.settings;

import java.util.regex.Pattern;

/**
 * An IPv4 address and a port, as written in settings.
 *
 * @param host the IPv4 address
 * @param port the port, 0 to 65535; 0 lets the operating system choose one
 */
public record SocketAddressText(String host, int port) {

  private static final Pattern FORM = Pattern.compile("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}");
  private static final int MAX_PORT = 65_535;

  /**
   * Parses {@code HOST:PORT}.
   *
   * @throws IllegalArgumentException if the text doesn't have this form or the port is out of range
   */
  public static SocketAddressText parse(String text) {
    if (!FORM.matcher(text).matches()) {
      throw new IllegalArgumentException("not an IPv4 address and port: " + text);
    }
    int colon = text.indexOf(':');
    int port = Integer.parseInt(text.substring(colon + 1));
    if (port > MAX_PORT) {
      throw new IllegalArgumentException("port out of range: " + text);
    }
    return new SocketAddressText(text.substring(0, colon), port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
