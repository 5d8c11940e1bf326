package org.flamingochute.scheduling.declaration;

/** What can be wrong with the value of a field. */
public enum Rule {
  DUPLICATE_NAME(Severity.ERROR, "an earlier %s has the same name"),
  SHARED_KEY(Severity.ERROR, "team %s has the same key"),
  UNKNOWN_POOL(Severity.ERROR, "this pool is not declared"),
  VERSION_NOT_HIGHER(Severity.ERROR, "not higher than version %s, which is in force"),
  NEGATIVE_NUMBER(Severity.ERROR, "must not be negative"),
  SAME_ADDRESS(Severity.ERROR, "queue %s before it has the same host and path prefix"),
  PREFIX_WITHOUT_SLASH(Severity.ERROR, "must begin and end with a slash, or no job matches"),
  HOST_OF_NO_CALL(Severity.ERROR, "no call has this host; nodes compare it without the port"),
  TEAM_WITHOUT_KEYS(Severity.WARNING, "no call can be of this team"),
  UNUSED_POOL(Severity.WARNING, "no queue uses this pool, and it is no standby pool"),
  NO_STANDBY_POOL(Severity.WARNING, "no pool is a standby pool"),
  SECOND_STANDBY_POOL(
      Severity.WARNING, "pool %s is a standby pool too; machines are taken from only one of them"),
  NO_ATTEMPT(Severity.WARNING, "nodes use 1 attempt instead"),
  NO_TIMEOUT(Severity.WARNING, "nodes use their default instead"),
  NO_OBJECTIVE(Severity.WARNING, "jobs have no objective, as the slack factor is 0 too"),
  LOW_SLACK_FACTOR(
      Severity.WARNING,
      "below 1: a job with a critical path of more than %s ms cannot meet its objective"),
  NO_WEIGHT(Severity.WARNING, "this team's rate has no limit, while that of team %s has one");

  private final Severity severity;
  private final String template;

  Rule(Severity severity, String template) {
    this.severity = severity;
    this.template = template;
  }

  Severity severity() {
    return severity;
  }

  String template() {
    return template;
  }
}
