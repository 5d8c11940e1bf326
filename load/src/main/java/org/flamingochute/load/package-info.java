/**
 * Load tool with the callers of requests, orders and jobs, and the comparison of their report with
 * that of the stand-ins.
 *
 * <p>A {@link org.flamingochute.load.Balancer} distributes calls over the entries. The callers
 * {@link org.flamingochute.load.RequestCaller} and {@link org.flamingochute.load.JobCaller} retry
 * calls where this is safe and report the outcomes to a {@link
 * org.flamingochute.load.CallRecorder}.
 */
package org.flamingochute.load;
