/** Operators: authorization to read and patch, and the application of patches through the log. */
package org.flamingochute.engine.operator;
