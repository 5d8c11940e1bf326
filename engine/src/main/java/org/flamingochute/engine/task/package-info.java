/** Ways of running parts of the node on the threads of timers and futures. */
package org.flamingochute.engine.task;
