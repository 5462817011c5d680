/** Known instances and servers, endpoint announcements and draining, and link management. */
package org.carobhoist.core.membership;
