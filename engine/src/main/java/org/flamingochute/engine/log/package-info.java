/** Reading and appending the platform's log, and the freshness of the state read from it. */
package org.flamingochute.engine.log;
