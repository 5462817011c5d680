package org.carobhoist.server.settings;

/** Levels of log events, the most severe first. */
public enum LogLevel {
  /** Failures only. */
  ERROR,
  /** Also events that need an operator's attention. */
  WARN,
  /** Also normal operation. */
  INFO
}
