/** Mutation tests, which disable mechanisms of the system to verify that the checkers detect it. */
package org.flamingochute.testsuite.mutant;
