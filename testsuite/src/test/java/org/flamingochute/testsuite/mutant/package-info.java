/** Mutation tests, which disable one mechanism at a time to verify that the checkers detect it. */
package org.flamingochute.testsuite.mutant;
