/**
 * One checker for each promise of the system. A checker relies only on observations made outside
 * the system and shares no code with the mechanism that it checks.
 */
package org.flamingochute.testsuite.promise;
