/** The fleet description: its text format, validation rules, patches, and granted keys. */
package org.flamingochute.decision.fleet;
