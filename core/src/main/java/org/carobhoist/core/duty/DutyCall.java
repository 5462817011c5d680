package org.carobhoist.core.duty;

/**
 * A call of a duty. A repetition sends the same bytes.
 *
 * @param subject what the call is about, such as the number of a window
 * @param body the bytes to send
 */
public record DutyCall(long subject, byte[] body) {}
