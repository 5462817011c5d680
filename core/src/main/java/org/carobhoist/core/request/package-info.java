/** The life of one request at an entry: routing, retries and the final verdict. */
package org.carobhoist.core.request;
