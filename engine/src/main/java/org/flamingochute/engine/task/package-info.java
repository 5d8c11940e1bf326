/** Execution of periodic and serialized tasks on the threads of timers and futures. */
package org.flamingochute.engine.task;
