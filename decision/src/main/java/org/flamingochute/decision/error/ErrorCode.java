package org.flamingochute.decision.error;

/**
 * All user-facing errors, with their codes and message templates.
 *
 * <p>The code is stable and documented in docs/ERRORS.md. The template has one {@code %s} for each
 * argument, in order. Codes are grouped by the part of the system that reports them.
 */
public enum ErrorCode {
  // Settings files and fleet descriptions: 1000 to 1099.
  SETTINGS_UNREADABLE(1000, "%s: cannot be read: %s"),
  SETTINGS_UNKNOWN_SECTION(1001, "%s: section [%s]: unknown section"),
  SETTINGS_UNKNOWN_KEY(1002, "%s: section [%s]: unknown key \"%s\" with value \"%s\""),
  SETTINGS_WRONG_TYPE(1003, "%s: section [%s]: key \"%s\": value \"%s\" is not %s"),
  SETTINGS_OUT_OF_RANGE(
      1004, "%s: section [%s]: key \"%s\": value \"%s\" is not between %s and %s %s"),
  SETTINGS_MISSING_KEY(1005, "%s: section [%s]: required key \"%s\" is missing"),
  SETTINGS_BAD_PATTERN(1006, "%s: section [%s]: key \"%s\": value \"%s\" does not match %s"),
  SETTINGS_MISSING_SECTION(1007, "%s: required section [%s] is missing"),
  SETTINGS_REPEATED(1008, "%s: section [%s]: \"%s\" occurs more than once"),
  SETTINGS_BAD_NAME(1009, "%s: section [%s]: name \"%s\" does not match %s"),

  // Fleet descriptions, patches and log records: 1100 to 1199.
  PATCH_STALE_BASE(1100, "patch %s is against version %s, but version %s is in force"),
  PATCH_EMPTY(1101, "patch %s changes nothing"),
  FLEET_INVALID(1102, "fleet description: section [%s]: key \"%s\": value \"%s\": %s"),
  RECORD_FUTURE_FORMAT(1103, "record at offset %s has format version %s, newer than %s"),
  RECORD_UNREADABLE(1104, "record at offset %s cannot be read: %s"),
  NOT_A_MEMBER(1105, "incarnation %s is not a member"),
  BUDGET_EXCEEDED(1106, "stopping %s would leave %s available in pool %s, below its minimum of %s"),
  DOMAIN_LIMIT(
      1107, "stopping %s would stop instances in %s failure domains of pool %s, more than %s"),
  INSTANCE_UNKNOWN(1108, "instance %s is unknown"),
  INSTANCE_WRONG_POOL(1109, "instance %s belongs to pool %s, not to pool %s"),
  INSTANCE_BUSY(1110, "instance %s is already stopped by operation %s"),
  OPERATION_UNKNOWN(1111, "operation %s is not in progress for instance %s"),
  CLAIM_TAKEN(1112, "idempotency key %s of team %s is claimed by %s"),
  CLAIM_OTHER_REQUEST(1113, "idempotency key %s of team %s was used for another request"),
  JOB_UNKNOWN(1114, "job %s is unknown"),
  JOB_WRONG_PHASE(1115, "job %s is %s"),
  PLACER_STALE(1116, "placer epoch %s of pool %s has ended, the current epoch is %s"),
  ESCROW_STALE(1117, "escrow epoch %s of team %s has ended, the current epoch is %s"),
  TEAM_UNKNOWN(1118, "team %s is not part of the fleet description"),
  POOL_UNSUITABLE(1119, "pool %s is not suitable: %s"),
  WAVE_HALTED(1120, "wave %s is halted: %s"),
  JOB_EXISTS(1121, "job %s already exists"),
  JOB_KEY_USED(1122, "idempotency key %s of team %s belongs to job %s"),
  WORKER_UNSUITABLE(1123, "worker %s cannot run job %s: %s"),
  STEP_OUT_OF_ORDER(1124, "operation %s: step %s is not allowed after %s"),
  RECORD_FIELD(1125, "record at offset %s: field %s: value \"%s\": %s"),
  CLAIM_UNKNOWN(1126, "idempotency key %s of team %s is not claimed by %s"),
  STATEMENT_NOT_DUE(1127, "no statement of the tokens held by incarnation %s is due"),
  SNAPSHOT_REFUSED(1128, "snapshot part at offset %s: %s"),
  MEMBER_EXISTS(1129, "incarnation %s has already joined"),
  ESCROW_SUSPENDED(1130, "team %s cannot start work until its running work fits its lowered cap"),
  PATCH_REPEATED(1132, "patch id %s was already used by another patch"),

  // Requests and jobs at an entry: 1200 to 1299.
  KEY_MISSING(1200, "service %s requires a team's key, and the request has none"),
  KEY_UNKNOWN(1201, "the key is not granted to any team"),
  SERVICE_UNKNOWN(1202, "service %s is not part of the fleet description"),
  ENTRY_NOT_FRESH(
      1203,
      "for %s ms, this entry has neither read the log's end nor had its state confirmed by peers"),
  ENTRY_STOPPING(1204, "this entry is stopping"),
  QUEUE_FULL(1205, "%s requests already wait for service %s"),
  DEADLINE_PASSED(1206, "the deadline passed after %s ms, before the request was dispatched"),
  CAP_REACHED(
      1207, "this entry has no free token of team %s, whose cap is %s running requests and jobs"),
  NO_ENDPOINT(1208, "no endpoint of service %s can take the request: %s"),
  OUTCOME_UNKNOWN(1209, "the request may have run: %s"),
  LOG_UNAVAILABLE(1210, "the platform's log cannot be reached: %s"),
  POOL_UNKNOWN(1211, "pool %s is not part of the fleet description"),
  REQUEST_MALFORMED(1212, "%s: value \"%s\": %s"),
  BODY_TOO_LARGE(1213, "the body has more than %s bytes"),
  OPERATOR_UNKNOWN(1214, "operator %s is unknown or the key is wrong"),
  OPERATOR_NOT_ALLOWED(1215, "operator %s may not patch the description"),

  // The entry process and its interfaces: 1300 to 1399.
  COMMAND_LINE(1300, "command line: %s; try --help"),
  PATH_UNKNOWN(1301, "path \"%s\" does not exist"),
  METHOD_NOT_ALLOWED(1302, "method %s is not allowed at path \"%s\""),
  BODY_MALFORMED(1303, "the body is not a %s: %s"),
  ENTRY_STARTING(1304, "this entry is starting"),
  ENTRY_FAILED(1305, "this entry failed: %s"),
  PEER_SECRET_NEEDED(
      1306,
      "section [peer]: key \"secret_file\": required, since address %s is not a loopback address"),
  FILE_UNREADABLE(1307, "section [%s]: key \"%s\": file \"%s\" cannot be read: %s"),
  FILE_UNWRITABLE(1308, "section [%s]: key \"%s\": file \"%s\" cannot be written: %s"),
  ADDRESS_UNUSABLE(1309, "section [%s]: key \"%s\": address \"%s\": %s"),
  TLS_UNUSABLE(1310, "section [peer]: TLS cannot be set up: %s"),
  CONNECTION_ENDING(1311, "the connection is closed after an earlier response"),

  // Stand-ins, load tool and the operators' command line: 1400 to 1499.
  STAND_IN_CANNOT_LISTEN(1400, "address %s: cannot listen: %s"),
  STAND_IN_BODY_MALFORMED(1401, "%s: the body cannot be read: %s"),
  STAND_IN_UNKNOWN_INSTANCE(1402, "instance \"%s\" is not registered"),
  STAND_IN_PARAMETER(1403, "%s: parameter \"%s\" has value \"%s\", which is not %s"),
  STAND_IN_UNREACHABLE(1404, "%s at %s cannot be reached: %s"),
  FILE_NOT_WRITABLE(1405, "%s: cannot be written: %s"),
  REPORT_MALFORMED(1407, "%s: the report cannot be read: %s"),
  CONTROL_STALE_BASE(1408, "the patch is against version %s, but version %s is in force"),
  CONTROL_UNREACHABLE(1409, "no usable response from entry %s"),
  CONTROL_UNKNOWN_OUTCOME(1410, "patch %s may or may not have taken effect: %s"),
  CONTROL_KEY_ID_UNKNOWN(1411, "key \"%s\" is not granted"),
  CONTROL_KEY_ID_TAKEN(1412, "key \"%s\" is already granted to team %s"),
  CONTROL_TEAM_UNKNOWN(1413, "team \"%s\" is not part of the description in force"),
  ;

  private final int number;
  private final String template;

  ErrorCode(int number, String template) {
    this.number = number;
    this.template = template;
  }

  /** Returns the stable number of the error. */
  public int number() {
    return number;
  }

  /** Returns the message template with {@code %s} for each argument. */
  public String template() {
    return template;
  }
}
