/** Profiles: INI documents, the fold over the log, snapshots and their spread. */
package org.carobhoist.core.profile;
