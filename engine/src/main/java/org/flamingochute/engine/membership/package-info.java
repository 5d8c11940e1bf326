/** Which entry processes are members, and what the platform's instance list shows. */
package org.flamingochute.engine.membership;
