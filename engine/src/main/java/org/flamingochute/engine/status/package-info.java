/** Reports of an entry on itself, the pools and the teams. */
package org.flamingochute.engine.status;
