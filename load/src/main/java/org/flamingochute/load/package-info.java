/**
 * The load tool: callers of both companies' kinds, and the comparison of what they saw with what
 * the stand-ins saw.
 *
 * <p>A {@link org.flamingochute.load.Balancer} spreads calls over the entries. The callers {@link
 * org.flamingochute.load.RequestCaller} and {@link org.flamingochute.load.JobCaller} retry as a
 * careful client may, and hand what they saw to a {@link org.flamingochute.load.CallRecorder}.
 */
package org.flamingochute.load;
