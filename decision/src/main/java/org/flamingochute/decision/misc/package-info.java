/** Small helpers without a concept of their own. */
package org.flamingochute.decision.misc;
