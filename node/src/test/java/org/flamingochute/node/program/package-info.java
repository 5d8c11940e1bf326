/** Tests of the settings and the command line of the node. */
package org.flamingochute.node.program;
