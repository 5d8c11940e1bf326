/** Distribution of the tokens of a cap between entries. */
package org.flamingochute.decision.capacity;
