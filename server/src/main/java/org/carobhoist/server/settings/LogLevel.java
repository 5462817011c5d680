package org.carobhoist.server.settings;

/** Levels of log events, the most severe first. */
public enum LogLevel {
  /** Failures only. */
  ERROR,
  /** Also what an operator should look at. */
  WARN,
  /** Also the normal course of events. */
  INFO
}
