/** What workers report about themselves and about the tasks on them. */
package org.flamingochute.scheduling.worker;
