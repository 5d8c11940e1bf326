/**
 * Conversion between INI text and typed messages.
 *
 * <p>A file is defined by the schema alone: a section is a message, a key is a field, and the
 * {@code setting} option of the field specifies its default and limits. Reading collects all errors
 * of a file, so that an operator can correct them at once.
 */
package org.flamingochute.decision.settings;
