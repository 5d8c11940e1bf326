/** The scenario language: descriptor files with named sections, and the runner that plays them. */
package org.flamingochute.testsuite.scenario;
