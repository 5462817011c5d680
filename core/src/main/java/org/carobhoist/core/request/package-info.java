/** Lifecycle of one request at an entry or gateway: attempts, retries and the final verdict. */
package org.carobhoist.core.request;
