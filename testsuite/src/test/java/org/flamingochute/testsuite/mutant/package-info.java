/**
 * Mutation tests, which disable mechanisms of the system to verify that the checkers report broken
 * promises.
 */
package org.flamingochute.testsuite.mutant;
