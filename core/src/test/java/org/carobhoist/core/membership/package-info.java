/** Tests of membership, heartbeats and draining. */
package org.carobhoist.core.membership;
