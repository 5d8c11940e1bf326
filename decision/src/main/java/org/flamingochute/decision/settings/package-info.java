/**
 * INI text to typed messages and back.
 *
 * <p>The schema is the only description of a file: a section is a message, a key is a field, and
 * the {@code setting} option of the field carries its default and limits. Reading collects every
 * error of a file, so that an operator mends them in one go.
 */
package org.flamingochute.decision.settings;
