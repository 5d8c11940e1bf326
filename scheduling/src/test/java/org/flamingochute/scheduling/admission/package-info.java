/** Tests of the decision to refuse a job for load. */
package org.flamingochute.scheduling.admission;
