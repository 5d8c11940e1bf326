/** The scenario language: descriptor files with named sections, and their execution. */
package org.flamingochute.testsuite.scenario;
