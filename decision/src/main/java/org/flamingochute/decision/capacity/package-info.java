/** Distribution of capacity: tokens of a cap between entries, and buffers of pools. */
package org.flamingochute.decision.capacity;
