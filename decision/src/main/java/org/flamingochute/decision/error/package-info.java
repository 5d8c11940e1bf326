/** User-facing errors: their codes and message templates, and the interface to report them. */
package org.flamingochute.decision.error;
