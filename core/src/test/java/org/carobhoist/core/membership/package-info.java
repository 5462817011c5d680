/** Tests of membership, heartbeats and drain. */
package org.carobhoist.core.membership;
