/** Operators: who may look and patch, and the way of a patch through the log. */
package org.flamingochute.engine.operator;
