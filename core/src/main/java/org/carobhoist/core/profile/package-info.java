/** Profiles: INI documents, the fold over the log, snapshots and their distribution. */
package org.carobhoist.core.profile;
