/** Grammar of HTTP/1.1 messages (RFC 9110, RFC 9112), checked on the bytes as they were sent. */
package org.carobhoist.core.http;
