/** Value types for identifiers. */
package org.flamingochute.decision.identity;
