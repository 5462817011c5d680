/** Infrastructure shared by all roles: services, the decision loop and the system clocks. */
package org.carobhoist.server.runtime;
