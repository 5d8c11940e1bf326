/** Shows that each promise's checker can fail, by turning one mechanism off at a time. */
package org.flamingochute.testsuite.mutant;
