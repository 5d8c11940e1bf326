/** Membership of entry processes, and observation of the platform's instance list. */
package org.flamingochute.engine.membership;
