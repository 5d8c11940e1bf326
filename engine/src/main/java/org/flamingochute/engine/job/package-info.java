/** Jobs: submission, placement per pool, and the attempts on workers. */
package org.flamingochute.engine.job;
