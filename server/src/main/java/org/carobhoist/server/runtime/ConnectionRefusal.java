package org.carobhoist.server.runtime;

/** Why a connection of a client is closed. */
public enum ConnectionRefusal {
  /** A head, or the trailers of a body, have too many lines. */
  HEAD_LINES("too many lines in a head", "431 Request Header Fields Too Large"),
  /** Too many blank bytes arrived in front of a request. */
  BLANK_BYTES("too many empty lines before a request", "400 Bad Request"),
  /** A head wasn't complete in time. */
  HEAD_TIME("a head was not complete in time", "408 Request Timeout"),
  /** Memory is short, and this incomplete head is the largest holder. */
  MEMORY("memory is short", "503 Service Unavailable\r\nretry-after: 1"),
  /** A response isn't read. */
  UNREAD("a response is not read", ""),
  /** There are too many connections. */
  CONNECTIONS("too many connections", "");

  private final String text;
  private final String status;

  ConnectionRefusal(String text, String status) {
    this.text = text;
    this.status = status;
  }

  String text() {
    return text;
  }

  /** Returns the response, which is empty if the connection is closed without one. */
  String response() {
    return status.isEmpty()
        ? ""
        : "HTTP/1.1 " + status + "\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
  }
}
