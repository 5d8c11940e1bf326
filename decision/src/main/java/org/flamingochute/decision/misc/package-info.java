/** Small utilities that belong to no other package. */
package org.flamingochute.decision.misc;
