/** Tests of copies of slow tasks. */
package org.flamingochute.scheduling.speculation;
