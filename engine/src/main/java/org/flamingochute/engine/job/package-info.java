/** Jobs: submission, the placers of the pools, and the attempts on workers. */
package org.flamingochute.engine.job;
