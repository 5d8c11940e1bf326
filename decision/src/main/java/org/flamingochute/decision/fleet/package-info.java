/** The fleet description: its text, its rules, patches against it, and the keys it grants. */
package org.flamingochute.decision.fleet;
