/**
 * The operators' command line.
 *
 * <p>Each {@link org.flamingochute.control.Command} asks the entries through an {@link
 * org.flamingochute.control.OperatorClient} and writes tables for people or JSON for programs.
 * Whatever goes wrong is a {@link org.flamingochute.control.ControlError} with an exit code.
 */
package org.flamingochute.control;
