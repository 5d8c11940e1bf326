/** Reading and appending the platform's log, and the freshness of what was read. */
package org.flamingochute.engine.log;
