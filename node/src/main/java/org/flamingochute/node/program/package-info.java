/** Command line, settings, start and stop of the process. */
package org.flamingochute.node.program;
