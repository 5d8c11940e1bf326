/**
 * One checker for each promise of the system. A checker judges only from observations made outside
 * the system and shares no code with the mechanism that it checks.
 */
package org.flamingochute.testsuite.promise;
