/** User-facing errors: one catalogue of codes and templates, and one way to report them. */
package org.flamingochute.decision.error;
