/**
 * Command-line interface for operators.
 *
 * <p>Each {@link org.flamingochute.control.Command} calls the entries through an {@link
 * org.flamingochute.control.OperatorClient} and returns plain-text tables or JSON. Failures are
 * {@link org.flamingochute.control.ControlError}s, which have an exit code.
 */
package org.flamingochute.control;
