/** Command line, settings, startup and shutdown of the process. */
package org.flamingochute.node.program;
